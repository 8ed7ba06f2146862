/** Stand-in for a plain application service. */
export {ServiceServer} from './server.js';
export type {CallRow, ServiceControl} from './server.js';

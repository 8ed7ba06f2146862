/** The stand-in of a plain application service. */
export {ServiceShell} from './shell.js';
export type {RunRow, ServiceControl} from './shell.js';

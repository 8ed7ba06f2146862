/** Stand-in for the platform: key-value service, list of VMs and weight store. */
export {defaultPlatformOptions, PlatformServer} from './server.js';
export type {PlatformControl, PlatformOptions} from './server.js';
export type {CallCounts} from './limits.js';
export type {WriteRow} from './state.js';

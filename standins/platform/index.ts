/** The stand-in of the platform: key-value service, list of VMs and weight store. */
export {defaultPlatformOptions, PlatformShell} from './shell.js';
export type {PlatformControl, PlatformOptions} from './shell.js';
export type {CallCounts} from './limits.js';
export type {WriteRow} from './state.js';

/** Decides, without I/O, which prompt blocks crash engines, and which requests are refused for that. */
export {CrashAttribution} from './attribution.js';
export type {CrashReport, Run} from './attribution.js';
export {BlockQuarantine} from './quarantine.js';
export type {Quarantine, QuarantineChange} from './quarantine.js';

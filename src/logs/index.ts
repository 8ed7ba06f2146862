/** Structured logs: one JSON object per line. */
export {startLogs} from './logs.js';
export {StructuredLogs, LogOutput, StandardOutput} from './output.js';
export type {LogFields} from './output.js';

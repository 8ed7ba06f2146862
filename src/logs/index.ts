/** Structured log lines, one for each change of state. */
export {startLogs} from './logs.js';

/** The entry's process: callers' HTTP side and everything behind it, put together. */
export {startEntry} from './entry.js';
export {GracefulStop, stopPhase} from './stop.js';
export type {ShutdownTask, StopPhase} from './stop.js';

/** The entry's process: callers' HTTP side and everything behind it, put together. */
export {startEntry} from './entry.js';
export {GracefulStop, stopPhase} from './stop.js';
export type {LastTask, StopPhase} from './stop.js';

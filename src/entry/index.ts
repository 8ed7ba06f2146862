/** Entry process: serves callers, operators and other entries over HTTP, and connects everything behind that. */
export {startEntry} from './entry.js';
export {GracefulStop, stopPhase} from './stop.js';
export type {ShutdownTask, StopPhase} from './stop.js';

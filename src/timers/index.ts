/** Time for every other part: one service that parts subscribe to, real or moved by a test. */
export {TimerService} from './service.js';
export type {Timer} from './service.js';
export {SystemTimers} from './system.js';
export {ManualTimers} from './manual.js';

/** Clocks and timers, real or controlled by a test. */
export {TimerService} from './service.js';
export type {Timer} from './service.js';
export {SystemTimers} from './system.js';
export {ManualTimers} from './manual.js';
export {measureElapsedMs, readClocks} from './elapsed.js';
export type {ClockReading} from './elapsed.js';

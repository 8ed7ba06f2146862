import type {TimerService} from './service.js';

/** Both clocks at one moment, in milliseconds: `now` is monotonic. */
export type ClockReading = {readonly now: number; readonly wall: number};

/** Reads both clocks. */
export function readClocks(timers: TimerService): ClockReading {
	return {now: timers.getNow(), wall: timers.getWallTime()};
}

/**
Measures the time since a reading on the monotonic clock (which stops while the VM is suspended) or the wall clock (which may
jump), whichever shows more elapsed time, in milliseconds. A backward jump hides nothing but a suspension at the same time, and a forward jump makes the time look longer.
*/
export function measureElapsedMs(timers: TimerService, since: ClockReading): number {
	return Math.max(timers.getNow() - since.now, timers.getWallTime() - since.wall);
}

import {performance} from 'node:perf_hooks';
import {TimerService} from './service.js';
import type {Timer} from './service.js';

/** Timer service on the system's clocks. */
export class SystemTimers extends TimerService {
	getNow(): number {
		return performance.now();
	}

	getWallTime(): number {
		return Date.now();
	}

	startTimer(delayMs: number, action: () => void): Timer {
		const handle = setTimeout(action, delayMs);
		return {
			cancel() {
				clearTimeout(handle);
			},
		};
	}
}

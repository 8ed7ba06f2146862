import {performance} from 'node:perf_hooks';
import {TimerService} from './service.js';
import type {Timer} from './service.js';

/** Timer service over the machine's clocks. */
export class SystemTimers extends TimerService {
	now(): number {
		return performance.now();
	}

	wall(): number {
		return Date.now();
	}

	after(delayMs: number, action: () => void): Timer {
		const handle = setTimeout(action, delayMs);
		return {
			cancel() {
				clearTimeout(handle);
			},
		};
	}
}

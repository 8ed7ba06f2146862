import {performance} from 'node:perf_hooks';
import {TimerService} from './service.js';
import type {Timer} from './service.js';

/** Turns of the event loop after the end of a timeout in which sockets are read: the first may have read them before the data arrived. */
const readTurns = 2;

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

	override startTimeout(delayMs: number, action: () => void): Timer {
		let isCancelled = false;
		let turns = 0;
		const onTurn = () => {
			turns++;
			if (isCancelled) {
				return;
			}

			if (turns > readTurns) {
				action();
			} else {
				setImmediate(onTurn);
			}
		};

		const timer = this.startTimer(delayMs, onTurn);
		return {
			cancel() {
				isCancelled = true;
				timer.cancel();
			},
		};
	}
}

/** A started timer. */
export type Timer = {
	/** Cancels the timer; further calls have no effect. */
	readonly cancel: () => void;
};

/**
Port for clocks and timers. All code uses it and never reads a clock or sets a timeout directly, so that tests can control time.

@example
```
const timer = timers.startInterval(1000, () => publishHeartbeat());
timer.cancel();
```
*/
export abstract class TimerService {
	/** Calls `action` every `intervalMs` milliseconds until the timer is cancelled; the first call comes after one interval. */
	startInterval(intervalMs: number, action: () => void): Timer {
		let timer: Timer;
		const onDue = () => {
			timer = this.startTimer(intervalMs, onDue);
			action();
		};

		timer = this.startTimer(intervalMs, onDue);

		return {
			cancel() {
				timer.cancel();
			},
		};
	}

	/** Waits for `delayMs` milliseconds, or until `signal` is aborted; resolves in both cases. */
	async sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
		if (signal?.aborted) {
			return;
		}

		await new Promise<void>(resolve => {
			const timer = this.startTimer(delayMs, onEnd);
			function onEnd() {
				signal?.removeEventListener('abort', onEnd);
				timer.cancel();
				resolve();
			}

			signal?.addEventListener('abort', onEnd, {once: true});
		});
	}

	/**
	Like `startTimer`, for a time without data from a peer: data that has arrived by the end of the time is read before `action` is called, and may
	cancel the timer. A timer that is late because this process was held up would otherwise run before the data that waits in its sockets is read.
	A service without sockets calls `action` at once.
	*/
	startTimeout(delayMs: number, action: () => void): Timer {
		return this.startTimer(delayMs, action);
	}

	/** Reads the monotonic clock, in milliseconds. It stops while the VM is suspended. */
	abstract getNow(): number;

	/** Reads the wall clock, in milliseconds since the Unix epoch. It may jump. */
	abstract getWallTime(): number;

	/** Calls `action` once after `delayMs` milliseconds. */
	abstract startTimer(delayMs: number, action: () => void): Timer;
}

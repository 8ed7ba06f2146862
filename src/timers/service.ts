/** A pending call of the timer service. */
export type Timer = {
	/** Stops the timer; a second call does nothing. */
	readonly cancel: () => void;
};

/**
The one source of time. Parts subscribe to it and never read a clock or set a timeout themselves.

@example
```
const timer = timers.startInterval(1000, () => publishHeartbeat());
timer.cancel();
```
*/
export abstract class TimerService {
	/** Calls `action` every `periodMs` milliseconds until cancelled. */
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

	/** Waits for `delayMs` milliseconds; resolves at once when `signal` is aborted. */
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

	/** Reads the monotonic clock, in milliseconds; it stands still while the VM is suspended. */
	abstract getNow(): number;

	/** Reads the wall clock, in milliseconds since the epoch; it may jump. */
	abstract getWallTime(): number;

	/** Calls `action` once after `delayMs` milliseconds. */
	abstract startTimer(delayMs: number, action: () => void): Timer;
}

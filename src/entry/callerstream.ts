import type {ServerResponse} from 'node:http';
import {CallerGoneError, SlowCallerError} from '../errors/index.js';
import type {Metrics} from '../metrics/index.js';
import type {TimerService} from '../timers/index.js';

/** Longest wait for a caller to take what is buffered for it, in milliseconds. */
const slowCallerTimeoutMs = 30_000;
const errorFlushTimeoutMs = 1000;

/** The answer's side towards a caller: bounded in memory, and ended when the caller takes too little of it. */
export class CallerStream {
	readonly #response: ServerResponse;
	readonly #timers: TimerService;
	readonly #metrics: Metrics;

	constructor(response: ServerResponse, timers: TimerService, metrics: Metrics) {
		this.#response = response;
		this.#timers = timers;
		this.#metrics = metrics;
	}

	/** Whether anything was written. */
	get hasStarted(): boolean {
		return this.#response.headersSent;
	}

	/** Writes text; waits while the caller has more than the buffer's bound to take. Throws `SlowCallerError`, `CallerGoneError`. */
	async write(text: string): Promise<void> {
		const response = this.#response;
		if (response.destroyed) {
			throw new CallerGoneError('the caller has gone');
		}

		if (!response.headersSent) {
			response.writeHead(200, {'content-type': 'text/event-stream', 'cache-control': 'no-cache', 'x-accel-buffering': 'no'});
		}

		if (!response.write(text)) {
			await this.#waitForDrain();
		}
	}

	/** Ends a whole answer. */
	finish(text: string): void {
		this.#response.end(text);
	}

	/** Tells of a break and cuts the connection, so that nobody takes the answer for whole. */
	abort(text: string): void {
		const response = this.#response;
		const timer = this.#timers.startTimer(errorFlushTimeoutMs, () => {
			response.destroy();
		});
		response.write(text, () => {
			timer.cancel();
			response.destroy();
		});
	}

	async #waitForDrain(): Promise<void> {
		const response = this.#response;
		await new Promise<void>((resolve, reject) => {
			const onEnd = (error?: Error) => {
				timer.cancel();
				response.off('drain', onDrain);
				response.off('close', onClose);
				if (error) {
					reject(error);
				} else {
					resolve();
				}
			};

			const onDrain = () => {
				onEnd();
			};

			const onClose = () => {
				onEnd(new CallerGoneError('the caller has gone'));
			};

			const timer = this.#timers.startTimer(slowCallerTimeoutMs, () => {
				this.#metrics.count('dropped', 'slow_caller');
				onEnd(new SlowCallerError(`the caller took nothing for ${slowCallerTimeoutMs} ms`));
			});
			response.on('drain', onDrain);
			response.on('close', onClose);
		});
	}
}

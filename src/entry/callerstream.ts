import type {ServerResponse} from 'node:http';
import {CallerGoneError, SlowCallerError} from '../errors/index.js';
import type {Metrics} from '../metrics/index.js';
import type {TimerService} from '../timers/index.js';

/** Maximum time that a caller may take to read what is buffered for it, in milliseconds. */
const slowCallerTimeoutMs = 30_000;
/** Maximum time to flush the error at the end of a broken answer, in milliseconds. */
const errorFlushTimeoutMs = 1000;

/** Response stream to a caller. Applies backpressure, so that memory is bounded, and fails when the caller reads too slowly. */
export class CallerStream {
	readonly #response: ServerResponse;
	readonly #timers: TimerService;
	readonly #metrics: Metrics;

	constructor(response: ServerResponse, timers: TimerService, metrics: Metrics) {
		this.#response = response;
		this.#timers = timers;
		this.#metrics = metrics;
	}

	/** Whether the headers were sent, after which the status can no longer change. */
	get hasStarted(): boolean {
		return this.#response.headersSent;
	}

	/**
	Writes text, after the headers if it is the first; waits for the caller to read while the buffer is full. Throws
	`SlowCallerError` when it stays full for `slowCallerTimeoutMs`, `CallerGoneError` when the connection is closed.
	*/
	async write(text: string): Promise<void> {
		const response = this.#response;
		if (response.destroyed) {
			throw new CallerGoneError('the caller closed the connection');
		}

		if (!response.headersSent) {
			response.writeHead(200, {'content-type': 'text/event-stream', 'cache-control': 'no-cache', 'x-accel-buffering': 'no'});
		}

		if (!response.write(text)) {
			await this.#waitForDrain();
		}
	}

	/** Writes the last text and ends a complete answer. */
	finish(text: string): void {
		this.#response.end(text);
	}

	/** Writes the error and destroys the connection without ending the response, so that the caller can't take the answer for complete. */
	abort(text: string): void {
		const response = this.#response;
		const timer = this.#timers.startTimeout(errorFlushTimeoutMs, () => {
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
				onEnd(new CallerGoneError('the caller closed the connection'));
			};

			const timer = this.#timers.startTimeout(slowCallerTimeoutMs, () => {
				this.#metrics.count('dropped', 'slow_caller');
				onEnd(new SlowCallerError(`the caller took nothing for ${slowCallerTimeoutMs} ms`));
			});
			response.on('drain', onDrain);
			response.on('close', onClose);
		});
	}
}

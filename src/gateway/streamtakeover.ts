import type {EngineView} from '../dispatch/index.js';
import {NotRunError} from '../errors/index.js';
import type {Reservation} from '../places/index.js';
import type {Timer} from '../timers/index.js';
import type {GatewayDependencies, ServedRequest} from './served.js';
import {StreamSend} from './streamsend.js';
import type {StreamSendOptions} from './streamsend.js';

/** Longest time for which two engines work on one stream, in milliseconds; an engine also needs a moment to notice that its connection has closed. */
const maxOverlapMs = 350;

/** How a {@link StreamTakeover} finds an engine. */
export type TakeoverSearch = {
	/** Whether the request may be sent to a further engine now. */
	readonly isPermitted: () => boolean;
	/** Waits for a reservation on engines that don't serve the request yet. Throws `NotRunError` when there is none. */
	readonly acquire: (signal: AbortSignal) => Promise<Reservation>;
	/** Returns the options of the send from the events that have reached the caller by now. */
	readonly createOptions: (reservation: Reservation) => StreamSendOptions;
	/** Called when a further send has ended without taking over. */
	readonly onFailed: (send: StreamSend) => void;
};

/**
Looks for a further engine while the engine of a stream is silent. The stream stays open at the silent one: whichever sends the next events serves the
request, and the other send is ended. An engine that falls silent for a moment thereby loses no answer, and neither does one that finds no place elsewhere.
When neither has sent any after {@link maxOverlapMs}, the further engine alone serves the request, unless it has become suspect itself.
*/
export class StreamTakeover {
	/** The further send that has taken the request over. */
	winner: StreamSend | undefined;
	readonly #dependencies: GatewayDependencies;
	readonly #served: ServedRequest;
	readonly #current: StreamSend;
	readonly #search: TakeoverSearch;
	#controller: AbortController | undefined;
	#pending: Promise<void> | undefined;
	/** Monotonic time at which the first engine's stream broke off, in milliseconds; infinite until then. */
	#firstEndedAt = Number.POSITIVE_INFINITY;
	#onFirstEnd!: () => void;
	/** Resolves when the first engine's stream has broken off: the further one then serves the request as soon as it has accepted it. */
	readonly #firstEnd = new Promise<boolean>(resolve => {
		this.#onFirstEnd = () => {
			resolve(true);
		};
	});

	/** Why the latest search failed, if it did so otherwise than for want of an engine. */
	#error: Error | undefined;

	constructor(dependencies: GatewayDependencies, served: ServedRequest, current: StreamSend, search: TakeoverSearch) {
		this.#dependencies = dependencies;
		this.#served = served;
		this.#current = current;
		this.#search = search;
	}

	/** Starts to look for a further engine, unless that is in progress or not permitted. */
	start(): void {
		if (this.#pending ?? this.winner) {
			return;
		}

		if (!this.#served.signal.aborted && this.#search.isPermitted()) {
			this.#pending = this.#run();
		}
	}

	/** Ends the further send, since the silent engine goes on; it may be started again. */
	cancel(): void {
		if (!this.winner) {
			this.#controller?.abort();
		}
	}

	/** Ends the further send, also one that has taken over: the first engine's stream was complete before that was noticed. */
	async stop(): Promise<void> {
		this.#controller?.abort();
		await this.winner?.cancel();
	}

	/** Waits for the end of a search in progress, once the first engine's stream has broken off; returns the send that serves the rest, if there is one. Throws the error of a search that failed. */
	async finish(): Promise<StreamSend | undefined> {
		this.#firstEndedAt = this.#dependencies.timers.getNow();
		this.#onFirstEnd();
		await this.#pending;
		if (this.#error) {
			throw this.#error;
		}

		return this.winner;
	}

	async #run(): Promise<void> {
		const controller = new AbortController();
		const onAbort = () => {
			controller.abort();
		};

		this.#controller = controller;
		this.#error = undefined;
		this.#served.signal.addEventListener('abort', onAbort, {once: true});
		try {
			await this.#takeOver(controller.signal);
		} catch (error) {
			// The answer may still come from the silent engine.
			this.#error = error instanceof Error ? error : new Error(String(error));
			this.#dependencies.reporter.onSearchFailed(this.#current.attempt.view, this.#served.request.id, this.#error);
		} finally {
			this.#pending = undefined;
			if (!this.winner) {
				this.#served.signal.removeEventListener('abort', onAbort);
			}
		}
	}

	async #takeOver(signal: AbortSignal): Promise<void> {
		const further = await this.#acquireFurther(signal);
		if (!further) {
			return;
		}

		const {reporter, timers} = this.#dependencies;
		const {view} = this.#current.attempt;
		const {id} = this.#served.request;
		reporter.onTakeover(view, further.engine, id);
		const sentAt = timers.getNow();
		const send = new StreamSend(this.#dependencies, this.#served, further, this.#search.createOptions(further.reservation));
		const isTakenOver = await this.#waitForOverlapEnd(send, signal);
		if (isTakenOver && !signal.aborted) {
			this.winner = send;
			this.#current.attempt.cancel();
		}

		const overlapMs = Math.max(0, Math.min(timers.getNow(), this.#firstEndedAt) - sentAt);
		reporter.onTakeoverEnd(view, further.engine, id, {overlapMs, isTakenOver: this.winner !== undefined});
		if (!this.winner) {
			await send.cancel();
			this.#search.onFailed(send);
		}
	}

	/** Waits until one of the two engines is to serve the request; returns whether it is the further one. `signal` is aborted when the silent one goes on. */
	async #waitForOverlapEnd(send: StreamSend, signal: AbortSignal): Promise<boolean> {
		const aborted = new Promise<boolean>(resolve => {
			signal.addEventListener('abort', () => {
				resolve(false);
			}, {once: true});
		});
		let timer: Timer | undefined;
		const timeout = new Promise<boolean>(resolve => {
			timer = this.#dependencies.timers.startTimeout(maxOverlapMs, () => {
				resolve(Number.isFinite(this.#firstEndedAt) || !send.attempt.view.health.isSuspect);
			});
		});
		try {
			return await Promise.race([this.#waitForAnswer(send), timeout, aborted]);
		} finally {
			timer?.cancel();
		}
	}

	/** Waits for the first events of the further engine, or for its acceptance where the first engine's stream has broken off; returns whether it serves the request. */
	async #waitForAnswer(send: StreamSend): Promise<boolean> {
		await send.open();
		// Once it serves the request alone, its events are read by whoever relays them.
		return send.isAccepted && (this.winner === send || Promise.race([send.waitForEvents(), this.#firstEnd]));
	}

	/** Reserves a further engine and takes the permit to send to it; `undefined` when there is none, or the silent engine has gone on. */
	async #acquireFurther(signal: AbortSignal): Promise<{readonly reservation: Reservation; readonly engine: EngineView} | undefined> {
		let reservation: Reservation;
		try {
			reservation = await this.#search.acquire(signal);
		} catch (error) {
			if (error instanceof NotRunError) {
				// The answer is awaited from the silent engine, and a place is sought again if it stays silent.
				return undefined;
			}

			throw error;
		}

		const {fleet, service} = this.#served;
		const engine = fleet.findAccepting(reservation.engines.decodeEngine, this.#dependencies.timers.getNow());
		if (!engine || signal.aborted || !this.#dependencies.retryBudget.tryTake(service)) {
			reservation.release(undefined);
			return undefined;
		}

		if (reservation.engines.prefillEngine !== undefined) {
			// A second prefill on an engine of its own would be a further retry: the decode engine runs it.
			reservation.onPrefillEnd(undefined);
		}

		return {reservation, engine};
	}
}

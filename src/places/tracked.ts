import type {EngineOutcome, StreamPace} from '../dispatch/index.js';
import type {TimerService} from '../timers/index.js';
import {Reservation} from './types.js';
import type {ReservedEngines, ReservationRequest} from './types.js';

/** An allocator that can be told of a reservation that another one granted; `undefined` when it does not account for it. */
export type Adopter = {
	readonly registerReservation: (request: ReservationRequest, engines: ReservedEngines, isPrefillPending: boolean) => Reservation | undefined;
};

/** The request of a reservation, and the monotonic time at which its times were computed, in milliseconds. */
export type RequestAtTime = {readonly request: ReservationRequest; readonly requestedAt: number};

/** Subtracts the time since a request was made from its remaining times. */
export function computeRemainingRequest({request, requestedAt}: RequestAtTime, now: number): ReservationRequest {
	const elapsedMs = now - requestedAt;
	return elapsedMs === 0
		? request
		: {
			...request, targetMs: request.targetMs - elapsedMs, deadlineMs: request.deadlineMs - elapsedMs, firstByteTimeoutMs: request.firstByteTimeoutMs - elapsedMs,
		};
}

/** A held reservation, known to the allocator that granted it and to those that adopted it. */
class TrackedReservation extends Reservation {
	readonly engines: ReservedEngines;
	readonly #requestAtTime: RequestAtTime;
	readonly #holders: Map<Adopter, Reservation>;
	readonly #onRelease: (reservation: TrackedReservation) => void;
	#isPrefillPending = true;
	/** Whether the decode engine sends nothing for the request. */
	#isSilent = false;

	constructor(requestAtTime: RequestAtTime, grantor: Adopter, granted: Reservation, onRelease: (reservation: TrackedReservation) => void) {
		super();
		this.engines = granted.engines;
		this.#requestAtTime = requestAtTime;
		this.#holders = new Map([[grantor, granted]]);
		this.#onRelease = onRelease;
	}

	get service(): string {
		return this.#requestAtTime.request.service;
	}

	/** Tells an allocator of this reservation unless it knows it. */
	notify(adopter: Adopter, now: number): void {
		if (this.#holders.has(adopter)) {
			return;
		}

		const adopted = adopter.registerReservation(computeRemainingRequest(this.#requestAtTime, now), this.engines, this.#isPrefillPending);
		if (adopted) {
			this.#holders.set(adopter, adopted);
			if (this.#isSilent) {
				adopted.onSilence(true);
			}
		}
	}

	onPrefillEnd(outcome: EngineOutcome | undefined): void {
		this.#isPrefillPending = false;
		for (const holder of this.#holders.values()) {
			holder.onPrefillEnd(outcome);
		}
	}

	onSilence(isSilent: boolean): void {
		this.#isSilent = isSilent;
		for (const holder of this.#holders.values()) {
			holder.onSilence(isSilent);
		}
	}

	onPace(pace: StreamPace): void {
		for (const holder of this.#holders.values()) {
			holder.onPace(pace);
		}
	}

	release(outcome: EngineOutcome | undefined): void {
		this.#onRelease(this);
		for (const holder of this.#holders.values()) {
			holder.release(outcome);
		}
	}
}

/**
The reservations that this process holds. When another entry begins to allocate for a service, it is told of those of the
service: otherwise it would take the engines for idle and have them do the same work twice over.
*/
export class HeldReservations {
	readonly #timers: TimerService;
	readonly #held = new Set<TrackedReservation>();
	readonly #allocators = new Map<string, Adopter>();

	constructor(timers: TimerService) {
		this.#timers = timers;
	}

	/** Records which allocator a service uses now, and tells a new one of the reservations that are held. Returns the number of reservations that it was told of. */
	onAllocator(service: string, allocator: Adopter): number {
		if (this.#allocators.get(service) === allocator) {
			return 0;
		}

		this.#allocators.set(service, allocator);
		const now = this.#timers.getNow();
		const held = [...this.#held].filter(reservation => reservation.service === service);
		for (const reservation of held) {
			reservation.notify(allocator, now);
		}

		return held.length;
	}

	/** Tracks a granted reservation until it is released; returns the reservation to use in its place. */
	track(requestAtTime: RequestAtTime, grantor: Adopter, granted: Reservation): Reservation {
		const reservation = new TrackedReservation(requestAtTime, grantor, granted, released => {
			this.#held.delete(released);
		});
		this.#held.add(reservation);
		return reservation;
	}
}

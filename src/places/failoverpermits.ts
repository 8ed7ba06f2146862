import type {LimitedEngine, RequestLimitChange} from '../requestlimits/index.js';
import type {TimerService} from '../timers/index.js';
import type {SlotAllocator} from './allocator.js';
import type {FailoverReservations} from './failover.js';
import {RemoteAllocator} from './remoteallocator.js';
import {PermitProvider} from './types.js';

const millisecondsPerSecond = 1000;
/** Maximum number of permits of one engine that are asked for at once: a further request tries another engine. */
const maxPendingPermits = 16;
/** Maximum number of engines with a state. */
const maxStates = 4096;

/** What this process knows of the permits of one engine. */
type PermitState = {
	/** Until then no permit can be had, monotonic, in milliseconds. */
	refusedUntil: number;
	/** Time at which the next refused request may return. */
	returnAt: number;
	pendingCount: number;
	/** Requests of this process in the second before it knew of the limit that the allocator has not been told of. */
	priorCount: number;
};

/** Gets permits from the entry that allocates for the service, or from this process when that can't be reached. */
export class FailoverPermits extends PermitProvider {
	readonly #timers: TimerService;
	readonly #allocator: SlotAllocator;
	readonly #reservations: FailoverReservations;
	/** By key of the engine; only engines that name a limit, or did when they were last asked for. */
	readonly #states = new Map<string, PermitState>();

	/** Takes the allocator of this process, and the choice among those of all entries. */
	constructor(timers: TimerService, allocator: SlotAllocator, reservations: FailoverReservations) {
		super();
		this.#timers = timers;
		this.#allocator = allocator;
		this.#reservations = reservations;
		allocator.limits.subscribe(change => {
			this.#onLimitChange(change);
		});
	}

	isLimited(engine: LimitedEngine): boolean {
		return this.#allocator.limits.isLimited(engine);
	}

	computeWaitMs(engine: LimitedEngine): number {
		return this.isLimited(engine) ? Math.max(0, this.#getState(engine).refusedUntil - this.#timers.getNow()) : 0;
	}

	async takePermit(engine: LimitedEngine): Promise<boolean> {
		const state = this.#getState(engine);
		if (state.pendingCount >= maxPendingPermits) {
			state.returnAt = Math.max(state.returnAt, this.#timers.getNow() + (millisecondsPerSecond / this.#allocator.limits.getPerSecond(engine)));
			return false;
		}

		const {priorCount} = state;
		state.priorCount = 0;
		state.pendingCount++;
		try {
			const {isGranted, waitMs} = await this.#reservations.callAllocator(engine.service, async allocator => allocator instanceof RemoteAllocator
				? allocator.takePermit(engine, priorCount)
				: allocator.tryTakePermit(engine, 0));
			if (!isGranted) {
				const now = this.#timers.getNow();
				state.refusedUntil = now + waitMs;
				state.returnAt = Math.max(state.returnAt, state.refusedUntil);
			}

			return isGranted;
		} finally {
			state.pendingCount--;
		}
	}

	scheduleReturnMs(engines: readonly LimitedEngine[], maxReturnMs: number): number {
		const now = this.#timers.getNow();
		let next: {readonly state: PermitState; readonly perSecond: number} | undefined;
		for (const engine of engines) {
			const state = this.#getState(engine);
			next = next && next.state.returnAt <= state.returnAt ? next : {state, perSecond: this.#allocator.limits.getPerSecond(engine)};
		}

		if (!next) {
			return 0;
		}

		const returnMs = Math.max(0, next.state.returnAt - now);
		if (returnMs <= maxReturnMs) {
			next.state.returnAt = now + returnMs + (millisecondsPerSecond / next.perSecond);
		}

		return returnMs;
	}

	onSend(engine: LimitedEngine): void {
		this.#allocator.onSend(engine);
	}

	#onLimitChange(change: RequestLimitChange): void {
		const key = this.#allocator.limits.formatKey(change);
		if (!Number.isFinite(change.perSecond)) {
			this.#states.delete(key);
			return;
		}

		this.#getState(change).refusedUntil = Number.NEGATIVE_INFINITY;
		if (change.cause === 'answer') {
			// The first choice tells the entries that don't know of the limit.
			this.#reservations.connectFirst(change.service);
		}
	}

	#getState(engine: LimitedEngine): PermitState {
		const key = this.#allocator.limits.formatKey(engine);
		const state = this.#states.get(key) ?? {
			refusedUntil: Number.NEGATIVE_INFINITY, returnAt: this.#timers.getNow(), pendingCount: 0, priorCount: this.#allocator.countRecentSends(engine),
		};
		this.#states.set(key, state);
		const [oldestKey] = this.#states.keys();
		if (this.#states.size > maxStates && oldestKey !== undefined) {
			this.#states.delete(oldestKey);
		}

		return state;
	}
}

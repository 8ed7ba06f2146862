import {OrderRefusedError, StaleFenceError} from '../../src/errors/index.js';
import {enginePhase, orderKind} from '../../src/upstreams/index.js';
import type {EnginePhase, EngineTarget, Order} from '../../src/upstreams/index.js';
import type {TimerService} from '../../src/timers/index.js';
import {
	adapterBytes, modelBytes, roleChangeMs, weightBytesPerMs,
} from './costs.js';
import {engineEvent} from './journal.js';
import type {EngineEvent} from './journal.js';

/** What the orders need of their engine. */
export type OrdersParts = {
	readonly timers: TimerService;
	readonly isFenced: boolean;
	readonly setup: EngineTarget;
	readonly getTimeFactor: () => number;
	readonly record: (event: EngineEvent, order: Order, reason?: string) => void;
	/** Ends every request unfinished, as a change does that nobody prepared. */
	readonly onChange: () => void;
	/** Loads `bytes` of weights; `undefined` when the engine's own rate holds. */
	readonly loadWeights?: (bytes: number) => Promise<void>;
};

/** A change in progress. */
type Change = {readonly order: Order};

/** The orders an engine got, and what it became by them. */
export class Orders {
	phase: EnginePhase = enginePhase.ready;
	setup: EngineTarget;
	/** Highest fencing number seen; stays 0 on an engine that ignores them. */
	fence = 0;
	/** Id of the last order that took effect. */
	lastOrder = '';
	readonly #parts: OrdersParts;
	#change: Change | undefined;

	constructor(parts: OrdersParts) {
		this.#parts = parts;
		this.setup = parts.setup;
	}

	/** Takes one order. Throws `StaleFenceError` and `OrderRefusedError`. */
	apply(order: Order): void {
		this.#parts.record(engineEvent.orderReceived, order);
		this.#checkFence(order);
		if (order.id === this.lastOrder || order.id === this.#change?.order.id) {
			this.#parts.record(engineEvent.orderRepeated, order);
			return;
		}

		if (this.#change) {
			this.#refuse(order, `the engine changes by order ${this.#change.order.id}`);
		}

		if (order.kind === orderKind.configure) {
			this.#startChange(order);
			return;
		}

		if (order.kind !== orderKind.seal) {
			this.phase = order.kind === orderKind.drain ? enginePhase.draining : enginePhase.ready;
		}

		this.#finish(order);
	}

	/** Forgets everything, as a restart does. */
	reset(): void {
		this.#change = undefined;
		this.phase = enginePhase.ready;
		this.setup = this.#parts.setup;
		this.fence = 0;
		this.lastOrder = '';
	}

	#checkFence(order: Order): void {
		if (!this.#parts.isFenced) {
			return;
		}

		if (order.fence < this.fence) {
			const reason = `fence ${order.fence} is below ${this.fence}`;
			this.#parts.record(engineEvent.orderRefused, order, reason);
			throw new StaleFenceError(reason);
		}

		this.fence = order.fence;
	}

	#refuse(order: Order, reason: string): never {
		this.#parts.record(engineEvent.orderRefused, order, reason);
		throw new OrderRefusedError(reason);
	}

	#startChange(order: Order): void {
		const {target} = order;
		if (!target) {
			this.#refuse(order, 'a configure order needs a target');
		}

		const change = {order};
		this.#change = change;
		this.phase = enginePhase.away;
		this.#parts.onChange();
		const bytes = countBytes(this.setup, target);
		void this.#runChange(change, target, bytes);
	}

	async #runChange(change: Change, target: EngineTarget, bytes: number): Promise<void> {
		const {timers, loadWeights, getTimeFactor} = this.#parts;
		await (loadWeights && bytes > 0 ? loadWeights(bytes) : timers.sleep(bytes / weightBytesPerMs * getTimeFactor()));

		await timers.sleep(roleChangeMs * getTimeFactor());
		// A crash forgets the change.
		if (this.#change === change) {
			this.#finishChange(change.order, target);
		}
	}

	#finishChange(order: Order, target: EngineTarget): void {
		this.#change = undefined;
		this.setup = target;
		this.phase = enginePhase.ready;
		this.#finish(order);
	}

	#finish(order: Order): void {
		this.lastOrder = order.id;
		this.#parts.record(engineEvent.orderApplied, order);
	}
}

function countBytes(from: EngineTarget, to: EngineTarget): number {
	const isSameModel = from.model === to.model && from.version === to.version;
	const loaded = new Set(isSameModel ? from.adapters : []);
	const newAdapters = to.adapters.filter(adapter => !loaded.has(adapter)).length;
	return (isSameModel ? 0 : modelBytes) + (newAdapters * adapterBytes);
}

import {OrderRefusedError, StaleFenceError} from '../../src/errors/index.js';
import {enginePhase, orderKind} from '../../src/upstreams/index.js';
import type {EnginePhase, EngineTarget, Order} from '../../src/upstreams/index.js';
import type {TimerService} from '../../src/timers/index.js';
import {
	adapterBytes, modelBytes, roleChangeMs, weightBytesPerMs,
} from './costs.js';
import {engineEvent} from './journal.js';
import type {EngineEvent} from './journal.js';

/** What an {@link OrderHandler} is given. */
export type OrderHandlerDependencies = {
	readonly timers: TimerService;
	/** Whether orders with a fence below the highest one seen are refused. */
	readonly isFenced: boolean;
	/** Role, model, version and adapters after a start. */
	readonly setup: EngineTarget;
	/** Returns the factor on the duration of a change. */
	readonly getTimeFactor: () => number;
	/** Writes a row of the engine's journal. */
	readonly record: (event: EngineEvent, order: Order, reason?: string) => void;
	/** Called when a `configure` order starts; the engine then aborts its unfinished requests. */
	readonly onConfigure: () => void;
	/** Loads `bytes` of weights from a weight store; when absent, loading takes the time given by `weightBytesPerMs`. */
	readonly loadWeights?: (bytes: number) => Promise<void>;
};

/** A `configure` order that is not completed yet. */
type PendingConfigure = {readonly order: Order};

/** Applies the orders sent to an engine, and holds the state that they change. */
export class OrderHandler {
	phase: EnginePhase = enginePhase.ready;
	setup: EngineTarget;
	/** Highest fence seen; stays 0 on an engine that ignores fences. */
	fence = 0;
	/** Id of the last order that took effect; empty after a start. */
	lastOrder = '';
	readonly #dependencies: OrderHandlerDependencies;
	#pending: PendingConfigure | undefined;

	constructor(dependencies: OrderHandlerDependencies) {
		this.#dependencies = dependencies;
		this.setup = dependencies.setup;
	}

	/** Applies an order; repeats of the last or the pending order have no effect. Throws `StaleFenceError` and `OrderRefusedError`. */
	apply(order: Order): void {
		this.#dependencies.record(engineEvent.orderReceived, order);
		this.#checkFence(order);
		if (order.id === this.lastOrder || order.id === this.#pending?.order.id) {
			this.#dependencies.record(engineEvent.orderRepeated, order);
			return;
		}

		if (this.#pending) {
			this.#refuse(order, `the engine changes by order ${this.#pending.order.id}`);
		}

		if (order.kind === orderKind.configure) {
			this.#startConfigure(order);
			return;
		}

		if (order.kind !== orderKind.seal) {
			this.phase = order.kind === orderKind.drain ? enginePhase.draining : enginePhase.ready;
		}

		this.#recordApplied(order);
	}

	/** Returns to the state after a start, as a crash does. */
	reset(): void {
		this.#pending = undefined;
		this.phase = enginePhase.ready;
		this.setup = this.#dependencies.setup;
		this.fence = 0;
		this.lastOrder = '';
	}

	#checkFence(order: Order): void {
		if (!this.#dependencies.isFenced) {
			return;
		}

		if (order.fence < this.fence) {
			const reason = `fence ${order.fence} is below ${this.fence}`;
			this.#dependencies.record(engineEvent.orderRefused, order, reason);
			throw new StaleFenceError(reason);
		}

		this.fence = order.fence;
	}

	#refuse(order: Order, reason: string): never {
		this.#dependencies.record(engineEvent.orderRefused, order, reason);
		throw new OrderRefusedError(reason);
	}

	#startConfigure(order: Order): void {
		const {target} = order;
		if (!target) {
			this.#refuse(order, 'a configure order needs a target');
		}

		const pending = {order};
		this.#pending = pending;
		this.phase = enginePhase.away;
		this.#dependencies.onConfigure();
		const bytes = countWeightBytes(this.setup, target);
		void this.#runConfigure(pending, target, bytes);
	}

	async #runConfigure(pending: PendingConfigure, target: EngineTarget, bytes: number): Promise<void> {
		const {timers, loadWeights, getTimeFactor} = this.#dependencies;
		await (loadWeights && bytes > 0 ? loadWeights(bytes) : timers.sleep(bytes / weightBytesPerMs * getTimeFactor()));

		await timers.sleep(roleChangeMs * getTimeFactor());
		// A crash in the meantime drops the pending order.
		if (this.#pending === pending) {
			this.#finishConfigure(pending.order, target);
		}
	}

	#finishConfigure(order: Order, target: EngineTarget): void {
		this.#pending = undefined;
		this.setup = target;
		this.phase = enginePhase.ready;
		this.#recordApplied(order);
	}

	#recordApplied(order: Order): void {
		this.lastOrder = order.id;
		this.#dependencies.record(engineEvent.orderApplied, order);
	}
}

function countWeightBytes(from: EngineTarget, to: EngineTarget): number {
	const isSameModel = from.model === to.model && from.version === to.version;
	const loaded = new Set(isSameModel ? from.adapters : []);
	const newAdapterCount = to.adapters.filter(adapter => !loaded.has(adapter)).length;
	return (isSameModel ? 0 : modelBytes) + (newAdapterCount * adapterBytes);
}

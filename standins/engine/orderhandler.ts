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
export type OrderHandlerDependencies = {
	readonly timers: TimerService;
	readonly isFenced: boolean;
	readonly setup: EngineTarget;
	readonly getTimeFactor: () => number;
	readonly record: (event: EngineEvent, order: Order, reason?: string) => void;
	/** Ends every request unfinished, as a change does that nobody prepared. */
	readonly onConfigure: () => void;
	/** Loads `bytes` of weights; `undefined` when the engine's own rate holds. */
	readonly loadWeights?: (bytes: number) => Promise<void>;
};

/** A change in progress. */
type PendingConfigure = {readonly order: Order};

/** The orders an engine got, and what it became by them. */
export class OrderHandler {
	phase: EnginePhase = enginePhase.ready;
	setup: EngineTarget;
	/** Highest fencing number seen; stays 0 on an engine that ignores them. */
	fence = 0;
	/** Id of the last order that took effect. */
	lastOrder = '';
	readonly #dependencies: OrderHandlerDependencies;
	#pending: PendingConfigure | undefined;

	constructor(dependencies: OrderHandlerDependencies) {
		this.#dependencies = dependencies;
		this.setup = dependencies.setup;
	}

	/** Takes one order. Throws `StaleFenceError` and `OrderRefusedError`. */
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

	/** Forgets everything, as a restart does. */
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
		// A crash forgets the change.
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

import {
	NotRunError, OrderRefusedError, StaleFenceError, UnknownOutcomeError,
} from '../../src/errors/index.js';
import type {TimerService} from '../../src/timers/index.js';
import {
	EngineClient, enginePhase, OrderConnection, orderKind,
} from '../../src/upstreams/index.js';
import type {
	EngineState, EngineTarget, GenerateEvent, KvHandle, LoadReport, Order, CacheEvents,
} from '../../src/upstreams/index.js';
import type {Gate} from './gate.js';

/** How an engine took an order. */
export const orderEffect = {
	applied: 'applied',
	/** The same order as the last one. */
	repeated: 'repeated',
	stale: 'stale',
	refused: 'refused',
} as const;

/** See {@link orderEffect}. */
export type OrderEffect = (typeof orderEffect)[keyof typeof orderEffect];

/** An order that arrived. */
export type ArrivedOrder = {readonly at: number; readonly from: string; readonly order: Order; readonly effect: OrderEffect};

/** How a fake engine behaves. */
export type FakeEngineOptions = {
	readonly timers: TimerService;
	readonly id: string;
	/** Whether it keeps the highest fencing number. */
	readonly isFenced: boolean;
	/** Whether it refuses lower ones, as a fenced engine must. */
	readonly hasFence: boolean;
	/** Whether a drain order makes it refuse new work. */
	readonly hasDrain: boolean;
	/** What it is after a start. */
	readonly setup: EngineTarget;
	/** How long a `configure` takes, in milliseconds. */
	readonly awayMs: number;
	/** Called for each order that takes effect. */
	readonly onApplied: (arrived: ArrivedOrder) => void;
};

/** A fake engine: its journal of orders and of requests cut by them is what tests judge by. */
export class FakeOrderEngine {
	readonly journal: ArrivedOrder[] = [];
	readonly cuts: string[] = [];
	readonly running = new Set<string>();
	isDown = false;
	started = 0;
	#state: EngineState;
	readonly #options: FakeEngineOptions;

	constructor(options: FakeEngineOptions) {
		this.#options = options;
		this.#state = createState(options.setup, 1);
	}

	get state(): EngineState {
		return {...this.#state, running: this.running.size};
	}

	/** Starts a request unless new work is refused, and says whether it did. */
	startWork(id: string): boolean {
		const isRefused = this.#state.phase === enginePhase.away || (this.#options.hasDrain && this.#state.phase === enginePhase.draining);
		if (this.isDown || isRefused) {
			return false;
		}

		this.running.add(id);
		this.started++;
		return true;
	}

	/** Ends a request. */
	finishWork(id: string): void {
		this.running.delete(id);
	}

	/** Ends the engine's process with all that runs there, and starts it again after `downMs`. */
	abort(downMs: number): void {
		this.running.clear();
		this.isDown = true;
		this.#options.timers.startTimer(downMs, () => {
			this.#state = createState(this.#options.setup, this.#state.incarnation + 1);
			this.isDown = false;
		});
	}

	/** Takes an order from the process named `from`. */
	apply(from: string, order: Order): EngineState {
		const effect = this.#decideEffect(order);
		const arrived = {
			at: this.#options.timers.getNow(), from, order, effect,
		};
		this.journal.push(arrived);
		if (effect === orderEffect.stale) {
			throw new StaleFenceError(`fence ${order.fence} is below ${this.#state.fence}`);
		}

		if (effect === orderEffect.refused) {
			throw new OrderRefusedError('the engine is away');
		}

		if (this.#options.isFenced) {
			this.#state = {...this.#state, fence: Math.max(this.#state.fence, order.fence)};
		}

		if (effect === orderEffect.applied && order.kind !== orderKind.seal) {
			this.#options.onApplied(arrived);
			this.#applyKind(order);
		}

		return this.state;
	}

	#decideEffect(order: Order): OrderEffect {
		if (this.#options.isFenced && this.#options.hasFence && order.fence < this.#state.fence) {
			return orderEffect.stale;
		}

		if (order.id === this.#state.lastOrder) {
			return orderEffect.repeated;
		}

		return this.#state.phase === enginePhase.away && order.kind !== orderKind.seal ? orderEffect.refused : orderEffect.applied;
	}

	#applyKind({id, kind, target}: Order): void {
		this.#state = {...this.#state, lastOrder: id};
		if (kind === orderKind.drain) {
			this.#state = {...this.#state, phase: enginePhase.draining};
		} else if (kind === orderKind.resume) {
			this.#state = {...this.#state, phase: enginePhase.ready};
		} else if (kind === orderKind.configure && target) {
			this.#startChange(target);
		}
	}

	#startChange(target: EngineTarget): void {
		this.cuts.push(...this.running);
		this.running.clear();
		this.#state = {...this.#state, phase: enginePhase.away};
		const {incarnation} = this.#state;
		this.#options.timers.startTimer(this.#options.awayMs, () => {
			if (!this.isDown && this.#state.incarnation === incarnation) {
				this.#state = {...this.#state, ...target, phase: enginePhase.ready};
			}
		});
	}
}

/** One process's connection to a {@link FakeOrderEngine}, with faults that a test switches on. */
export class FakeOrderClient extends EngineClient {
	/** How many of the next orders take effect and lose their answer. */
	lostAnswers = 0;
	/** How many of the next orders lose their answer and arrive `lateMs` later. */
	late = 0;
	lateMs = 0;
	/** How long an order waits in the process before it leaves; a freeze meets it there. */
	delayMs = 0;
	readonly #engine: FakeOrderEngine;
	readonly #from: string;
	readonly #gate: Gate;
	readonly #timers: TimerService;

	constructor(engine: FakeOrderEngine, from: string, gate: Gate, timers: TimerService) {
		super();
		this.#engine = engine;
		this.#from = from;
		this.#gate = gate;
		this.#timers = timers;
	}

	async readState(): Promise<EngineState> {
		await this.#gate.wait();
		this.#checkUp();
		const {state} = this.#engine;
		await this.#gate.wait();
		return state;
	}

	async openOrderConnection(): Promise<OrderConnection> {
		await this.#gate.wait();
		this.#checkUp();
		return new FakeOrderConnection(this.#engine.state.incarnation, async (order, incarnation) => this.#send(order, incarnation));
	}

	generate(): AsyncIterable<GenerateEvent> {
		throw new NotRunError('this fake takes orders only');
	}

	async cancel(): Promise<void> {
		throw new NotRunError('this fake takes orders only');
	}

	async readLoad(): Promise<LoadReport> {
		throw new NotRunError('this fake takes orders only');
	}

	async exportKv(): Promise<KvHandle> {
		throw new NotRunError('this fake takes orders only');
	}

	async importKv(): Promise<KvHandle> {
		throw new NotRunError('this fake takes orders only');
	}

	async readCacheEvents(): Promise<CacheEvents> {
		throw new NotRunError('this fake takes orders only');
	}

	async #send(order: Order, incarnation: number): Promise<EngineState> {
		if (this.delayMs > 0) {
			await this.#timers.sleep(this.delayMs);
		}

		await this.#gate.wait();
		if (this.#engine.isDown || this.#engine.state.incarnation !== incarnation) {
			throw new NotRunError('the connection ended with the engine\'s process');
		}

		if (this.late > 0) {
			this.late--;
			this.#timers.startTimer(this.lateMs, () => {
				this.#tryApply(order, incarnation);
			});
			throw new UnknownOutcomeError('the order is on its way');
		}

		const state = this.#engine.apply(this.#from, order);
		await this.#gate.wait();
		if (this.lostAnswers > 0) {
			this.lostAnswers--;
			throw new UnknownOutcomeError('the answer was lost');
		}

		return state;
	}

	#tryApply(order: Order, incarnation: number): void {
		if (this.#engine.isDown || this.#engine.state.incarnation !== incarnation) {
			// The connection ended with the engine's process.
			return;
		}

		try {
			this.#engine.apply(this.#from, order);
		} catch {
			// Nobody waits for this answer any more; the engine's journal has it.
		}
	}

	#checkUp(): void {
		if (this.#engine.isDown) {
			throw new NotRunError('the engine does not listen');
		}
	}
}

/** A connection to one incarnation of a fake engine. */
class FakeOrderConnection extends OrderConnection {
	readonly #incarnation: number;
	readonly #send: (order: Order, incarnation: number) => Promise<EngineState>;

	constructor(incarnation: number, send: (order: Order, incarnation: number) => Promise<EngineState>) {
		super();
		this.#incarnation = incarnation;
		this.#send = send;
	}

	async send(order: Order): Promise<EngineState> {
		return this.#send(order, this.#incarnation);
	}

	close(): void {
		// Nothing is kept open.
	}
}

function createState(setup: EngineTarget, incarnation: number): EngineState {
	return {
		...setup, incarnation, phase: enginePhase.ready, fence: 0, lastOrder: '', running: 0,
	};
}

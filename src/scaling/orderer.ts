import {dutyOutcome} from '../duties/index.js';
import type {
	Duty, DutyOutcome, DutyPlatform, DutyStore, EngineOrder,
} from '../duties/index.js';
import type {Timer, TimerService} from '../timers/index.js';
import {decideOrders} from './decide.js';
import type {ScalingDecision} from './decide.js';
import {createGroups} from './groups.js';
import type {OrderState, ScalingEngine} from './groups.js';
import {formatOrders, formatOrdersKey, parseOrders} from './record.js';
import type {EngineGroup, ScalingSpec, WorkSummary} from './types.js';

/** What became of an order. */
export type OrderReport = {
	readonly order: EngineOrder;
	/** Number that was in force before. */
	readonly previous: number;
	/** `undefined` when the duty's lease did not hold for the call. */
	readonly outcome: DutyOutcome | undefined;
};

export type OrdererDependencies = {
	readonly duty: Duty;
	readonly platform: DutyPlatform;
	readonly store: DutyStore;
	readonly timers: TimerService;
	/** Returns the bounds and prices of the service's engines; `undefined` while no number is to be ordered. */
	readonly getSpec: () => ScalingSpec | undefined;
	/** Lists the registered engines whose failure domain is known. */
	readonly listEngines: () => readonly ScalingEngine[];
	/** Sums up the work of all callers for engines of a mean number of slots; `undefined` while another entry allocates the engines' slots. */
	readonly getWork: (slotsPerEngine: number) => {readonly summary: WorkSummary; /** Monotonic time of the first request, in milliseconds. */ readonly startedAt: number | undefined} | undefined;
	/** Whether no entry has lost its connection to this one: its callers' work would be missing. */
	readonly isWorkComplete: () => boolean;
	/** Called with each decision that changes orders. */
	readonly onDecision: (decision: ScalingDecision, groups: readonly EngineGroup[], work: WorkSummary | undefined) => void;
	/** Called with each order that was sent. */
	readonly onOrder: (report: OrderReport) => void;
	/** Called when work failed that is tried again. */
	readonly onFailure: (task: string, error: unknown) => void;
};

/** How a summary of the work came about. */
type WorkContext = {readonly slotsPerEngine: number; readonly workStartedAt: number | undefined};

/** Interval of decisions, in milliseconds. */
const decisionIntervalMs = 500;
/** Time after which an order that could not be had, or whose engines were lost, is sent again, in milliseconds. */
const retryMs = 2000;
/** Time after a change of a number in which engines beyond it are expected to leave, in milliseconds. */
const leavingMs = 5000;
/** Interval of removals, in milliseconds. */
const removalIntervalMs = 2000;
/** Time for which the work was measured before engines are removed, in milliseconds: longer than the usual waves of load. */
const settleMs = 12_000;
/** The same without any request: callers may not have begun yet. */
const idleSettleMs = 60_000;
/** Share of late requests from which the need counts as underestimated, and the number that is tolerated whatever their share. */
const maxLateShare = 0.03;
const maxLate = 2;
/** Factor by which the number of engines is raised then, its bound as a multiple of the estimated need, and the time for which it holds, in milliseconds. */
const raiseFactor = 1.25;
const maxRaiseFactor = 2;
const raiseMs = 15_000;
const assumedSlots = 8;
/** Time for which this entry holds the duty without seeing the work before it hands the duty over, in milliseconds: entries agree on the allocator of a service within some seconds. */
const handoverMs = 3000;
/** Interval of handovers, in milliseconds: an entry that is preferred but can't acquire the duty must not keep it from the others. */
const handoverIntervalMs = 30_000;

/**
Orders the engines of one service while this entry holds the duty. What will be ordered is written to the store before the calls, so that the next holder knows it. An order without an answer is
sent again with the same number; one that can't be had is tried again after 2 s, and replaced by another kind or failure domain meanwhile. Decides every 500 ms at most.
*/
export class EngineOrderer {
	readonly #service: string;
	readonly #dependencies: OrdererDependencies;
	readonly #states = new Map<string, OrderState>();
	#timer: Timer | undefined;
	#isBusy = false;
	/** Fencing token of the term whose orders are known. */
	#loadedNumber: number | undefined;
	/** Time since which this entry sees the work of all callers. */
	#workKnownSince: number | undefined;
	/** Time since which the duty is held without that. */
	#blindSince: number | undefined;
	#handedOverAt = Number.NEGATIVE_INFINITY;
	#removedAt = Number.NEGATIVE_INFINITY;
	#minNeed = 0;
	#minNeedUntil = Number.NEGATIVE_INFINITY;
	/** What the store has; the revision is `undefined` when it has to be read again. */
	#written: {text: string | undefined; revision: number | undefined} = {text: undefined, revision: undefined};

	constructor(service: string, dependencies: OrdererDependencies) {
		this.#service = service;
		this.#dependencies = dependencies;
	}

	start(): void {
		this.#timer ??= this.#dependencies.timers.startInterval(decisionIntervalMs, () => {
			void this.#tryRun();
		});
	}

	stop(): void {
		this.#timer?.cancel();
		this.#timer = undefined;
	}

	/** Counts the engines of a kind that are ordered, in all failure domains; 0 while another entry holds the duty. */
	countOrdered(isSpot: boolean): number {
		return this.#dependencies.duty.isHeld ? [...this.#states.values()].reduce((sum, state) => sum + (state.isSpot === isSpot ? state.desired : 0), 0) : 0;
	}

	async #tryRun(): Promise<void> {
		if (this.#isBusy) {
			return;
		}

		this.#isBusy = true;
		try {
			await this.#run();
		} catch (error) {
			this.#dependencies.onFailure('order engines', error);
		} finally {
			this.#isBusy = false;
		}
	}

	async #run(): Promise<void> {
		const {duty, timers, getSpec, listEngines, getWork} = this.#dependencies;
		const spec = getSpec();
		const engines = listEngines();
		const slotsPerEngine = engines.length === 0 ? assumedSlots : engines.reduce((sum, {slots}) => sum + slots, 0) / engines.length;
		const work = getWork(slotsPerEngine);
		this.#workKnownSince = work ? this.#workKnownSince ?? timers.getNow() : undefined;
		const {number} = duty;
		if (!spec || number === undefined) {
			this.#loadedNumber = undefined;
			this.#blindSince = undefined;
			return;
		}

		if (this.#loadedNumber !== number) {
			await this.#load(spec, engines);
			this.#loadedNumber = number;
		}

		this.#blindSince = work ? undefined : this.#blindSince ?? timers.getNow();
		if (await this.#tryHandOver()) {
			return;
		}

		this.#addStates(spec, engines);
		this.#decide(spec, engines, work?.summary, {slotsPerEngine, workStartedAt: work?.startedAt});
		this.#markRepeated(spec, engines);
		await this.#send();
	}

	/** Hands the duty over to the entry that sees the work, if another does. Returns whether it tried. */
	async #tryHandOver(): Promise<boolean> {
		const {duty, timers} = this.#dependencies;
		const now = timers.getNow();
		if (this.#blindSince === undefined || now - this.#blindSince < handoverMs || now - this.#handedOverAt < handoverIntervalMs) {
			return false;
		}

		this.#handedOverAt = now;
		await duty.releaseToPreferred();
		return true;
	}

	/** Takes over what the holder before this one ordered. What is registered beyond it stays: the record may come from an older copy of the store. */
	async #load(spec: ScalingSpec, engines: readonly ScalingEngine[]): Promise<void> {
		const {value, revision} = await this.#dependencies.store.read(formatOrdersKey(this.#service));
		this.#written = {text: value, revision};
		this.#states.clear();
		this.#minNeedUntil = Number.NEGATIVE_INFINITY;
		for (const {domain, isSpot, desired} of parseOrders(value)) {
			const registered = countRegistered(engines, domain, isSpot);
			const state = this.#getState(domain, isSpot);
			state.accepted = registered;
			state.desired = Math.min(Math.max(desired, registered), Math.max(spec.maxEngines, registered));
			state.isUnsent = state.desired > registered;
		}
	}

	/** Adds the groups of all failure domains that are known. Until an order of this term was accepted, engines of a group that become known count as ordered. */
	#addStates({domainPrices}: ScalingSpec, engines: readonly ScalingEngine[]): void {
		for (const domain of new Set([...domainPrices.keys(), ...engines.map(engine => engine.domain)])) {
			for (const isSpot of [true, false]) {
				const state = this.#getState(domain, isSpot);
				if (!state.isConfirmed) {
					const registered = countRegistered(engines, domain, isSpot);
					state.accepted = Math.max(state.accepted, registered);
					state.desired = Math.max(state.desired, registered);
				}
			}
		}
	}

	#decide(spec: ScalingSpec, engines: readonly ScalingEngine[], work: WorkSummary | undefined, {slotsPerEngine, workStartedAt}: WorkContext): void {
		const {timers, isWorkComplete, onDecision} = this.#dependencies;
		const now = timers.getNow();
		const groups = createGroups([...this.#states.values()], engines, spec, now);
		const decision = decideOrders({
			service: this.#service,
			spec,
			groups,
			slotsPerEngine,
			work,
			isSettled: this.#isSettled(workStartedAt, now),
			canRemove: now - this.#removedAt >= removalIntervalMs && isWorkComplete(),
			minNeed: now < this.#minNeedUntil ? this.#minNeed : 0,
		});
		this.#updateMinNeed(decision, groups, work, now);
		if (decision.orders.length === 0) {
			return;
		}

		onDecision(decision, groups, work);
		this.#removedAt = decision.isRemoval ? now : this.#removedAt;
		for (const {domain, isSpot, desired} of decision.orders) {
			const state = this.#getState(domain, isSpot);
			state.desired = desired;
			state.isUnsent = true;
		}
	}

	/** Tells whether the work was measured for long enough that the number of engines may fall. */
	#isSettled(workStartedAt: number | undefined, now: number): boolean {
		if (this.#workKnownSince === undefined) {
			return false;
		}

		const measuredMs = now - Math.max(this.#workKnownSince, workStartedAt ?? Number.NEGATIVE_INFINITY);
		return measuredMs >= (workStartedAt === undefined ? idleSettleMs : settleMs);
	}

	/** Raises the need for a while when requests get no engine in time although all that were ordered serve. */
	#updateMinNeed({need}: ScalingDecision, groups: readonly EngineGroup[], work: WorkSummary | undefined, now: number): void {
		const serving = groups.reduce((sum, group) => sum + group.serving, 0);
		const isComing = groups.some(group => group.serving < group.ordered && !group.isShort);
		if (!need || !work || isComing || serving === 0 || work.recentLate <= Math.max(maxLate, work.recentRequests * maxLateShare)) {
			return;
		}

		this.#minNeed = Math.min(Math.ceil(serving * raiseFactor), need.measured * maxRaiseFactor);
		this.#minNeedUntil = now + raiseMs;
	}

	/** Marks the orders to send again: those whose engines were lost, and those beyond which engines stay. */
	#markRepeated(spec: ScalingSpec, engines: readonly ScalingEngine[]): void {
		const now = this.#dependencies.timers.getNow();
		const states = [...this.#states.values()];
		for (const [index, group] of createGroups(states, engines, spec, now).entries()) {
			const state = states[index]!;
			const isBeyond = state.isConfirmed && countRegistered(engines, state.domain, state.isSpot) > state.desired && now - state.changedAt >= leavingMs;
			state.isUnsent ||= now - state.sentAt >= retryMs && now >= state.unavailableUntil && (group.isShort || isBeyond);
		}
	}

	/** Sends the orders that have to be sent, if the store has them. */
	async #send(): Promise<void> {
		const unsent = [...this.#states.values()].filter(({isUnsent}) => isUnsent);
		if (unsent.length > 0 && await this.#tryWrite()) {
			await Promise.all(unsent.map(async state => this.#sendOne(state)));
		}
	}

	async #sendOne(state: OrderState): Promise<void> {
		const {duty, platform, timers, onOrder} = this.#dependencies;
		const {domain, isSpot, desired, accepted} = state;
		const order = {
			service: this.#service, domain, isSpot, desired,
		};
		const outcome = await duty.tryCall(async fence => platform.orderEngines(order, fence));
		const now = timers.getNow();
		state.sentAt = now;
		if (outcome === dutyOutcome.accepted) {
			state.isUnsent = false;
			state.isConfirmed = true;
			state.raisedAt = desired > accepted ? now : state.raisedAt;
			state.refusedAt = desired > accepted ? Number.NEGATIVE_INFINITY : state.refusedAt;
			state.changedAt = desired === accepted ? state.changedAt : now;
			state.accepted = desired;
		} else if (outcome === dutyOutcome.unavailable) {
			// The number in force before stands, and what it lacks is had elsewhere until this one is tried again.
			state.isUnsent = false;
			state.desired = Math.min(desired, accepted);
			state.unavailableUntil = now + retryMs;
			state.refusedAt = now;
		}

		onOrder({order, previous: accepted, outcome});
	}

	/** Writes the orders to the store unless it has them. Returns whether it has. */
	async #tryWrite(): Promise<boolean> {
		const {store, onFailure} = this.#dependencies;
		const key = formatOrdersKey(this.#service);
		const text = formatOrders([...this.#states.values()]);
		try {
			if (this.#written.revision === undefined) {
				const {value, revision} = await store.read(key);
				this.#written = {text: value, revision};
			}

			if (this.#written.text === text) {
				return true;
			}

			const revision = await store.tryTransact(new Map([[key, this.#written.revision!]]), [{key, value: text}]);
			this.#written = {text, revision};
			return revision !== undefined;
		} catch (error) {
			this.#written = {text: undefined, revision: undefined};
			onFailure('write the orders', error);
			return false;
		}
	}

	#getState(domain: string, isSpot: boolean): OrderState {
		const key = `${domain} ${isSpot ? 'spot' : 'other'}`;
		let state = this.#states.get(key);
		if (!state) {
			state = {
				domain, isSpot, accepted: 0, desired: 0, isUnsent: false, isConfirmed: false, raisedAt: Number.NEGATIVE_INFINITY, changedAt: Number.NEGATIVE_INFINITY,
				sentAt: Number.NEGATIVE_INFINITY, unavailableUntil: Number.NEGATIVE_INFINITY, refusedAt: Number.NEGATIVE_INFINITY,
			};
			this.#states.set(key, state);
		}

		return state;
	}
}

/** Counts the engines of a group that are registered and not leaving. */
function countRegistered(engines: readonly ScalingEngine[], domain: string, isSpot: boolean): number {
	return engines.filter(engine => engine.domain === domain && engine.isSpot === isSpot && !engine.isLeaving).length;
}

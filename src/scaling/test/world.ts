import {
	Duty, dutyOutcome, DutyPlatform, DutyStore,
} from '../../duties/index.js';
import type {
	DutyFence, DutyLease, DutyOutcome, EngineOrder, StoredValue, StoreWrite,
} from '../../duties/index.js';
import type {RandomSource} from '../../rates/index.js';
import {ManualTimers} from '../../timers/index.js';
import {
	EngineOrderer, formatOrdersKey, parseOrders, WorkMeter,
} from '../index.js';
import type {OrderRecord, ScalingEngine, ScalingSpec} from '../index.js';

const stepMs = 50;
const slots = 8;
/** Work of a request's prompt, and the time that it holds its slot, in milliseconds. */
const promptMs = 30;
const holdMs = 240;
/** Share of the engines' time beyond which prompts are late often. */
const maxUtilisation = 0.7;
const reclaimMs = 2000;
const drainMs = 300;

export const spec: ScalingSpec = {
	minEngines: 1, maxEngines: 10, bootMs: 4000, spotPrice: 0.15, domainPrices: new Map([['a', 1], ['b', 1.1], ['c', 1.2]]),
};

type ModelEngine = {readonly domain: string; readonly isSpot: boolean; readonly servesAt: number; leavesAt: number; isReclaimed: boolean};

/** Platform that boots, drains and reclaims engines, in virtual time; it forgets the number ordered of what it reclaimed. */
export class ModelPlatform extends DutyPlatform {
	engines: ModelEngine[] = [];
	readonly orders: Array<EngineOrder & {readonly at: number; readonly number: number}> = [];
	/** Shares of calls that are lost before and after they took effect. */
	lossShare = 0;
	cost = 0;
	/** Calls as they were made, and those that the store had no record of. */
	readonly calls: Array<EngineOrder & {readonly at: number}> = [];
	readonly unrecorded: EngineOrder[] = [];
	/** Until when a group has no engines. */
	readonly #noneUntil = new Map<string, number>();

	constructor(readonly timers: ManualTimers, readonly random: RandomSource, readonly serviceSpec: ScalingSpec, readonly listRecorded: () => readonly OrderRecord[]) {
		super();
	}

	async reportUsage(): Promise<DutyOutcome> {
		throw new Error('not expected');
	}

	async orderEngines(order: EngineOrder, {number}: DutyFence): Promise<DutyOutcome> {
		const now = this.timers.getNow();
		this.calls.push({...order, at: now});
		if (!this.listRecorded().some(record => record.domain === order.domain && record.isSpot === order.isSpot && record.desired === order.desired)) {
			this.unrecorded.push(order);
		}

		if (this.random.getRandom() < this.lossShare) {
			return dutyOutcome.uncertain;
		}

		this.orders.push({...order, at: now, number});
		const {domain, isSpot, desired} = order;
		const present = this.engines.filter(engine => engine.domain === domain && engine.isSpot === isSpot && engine.leavesAt === Infinity);
		const paired = this.engines.filter(engine => engine.domain === domain && engine.isSpot !== isSpot && engine.leavesAt === Infinity);
		if (desired > present.length && (now < (this.#noneUntil.get(`${domain} ${isSpot}`) ?? 0) || desired + paired.length > this.serviceSpec.maxEngines)) {
			return dutyOutcome.unavailable;
		}

		for (const engine of present.slice(desired)) {
			engine.leavesAt = now + drainMs;
		}

		for (let count = present.length; count < desired; count++) {
			this.engines.push({
				domain, isSpot, servesAt: now + this.serviceSpec.bootMs, leavesAt: Infinity, isReclaimed: false,
			});
		}

		return this.random.getRandom() < this.lossShare ? dutyOutcome.uncertain : dutyOutcome.accepted;
	}

	addServing(domain: string, isSpot: boolean, count: number): void {
		for (let index = 0; index < count; index++) {
			this.engines.push({
				domain, isSpot, servesAt: 0, leavesAt: Infinity, isReclaimed: false,
			});
		}
	}

	/** Reclaims the spot engines of a failure domain, and has none for a while. */
	startReclaim(domain: string, noneMs: number): void {
		for (const engine of this.engines.filter(item => item.domain === domain && item.isSpot)) {
			engine.leavesAt = Math.min(engine.leavesAt, this.timers.getNow() + reclaimMs);
			engine.isReclaimed = true;
		}

		this.removeOffer(domain, noneMs);
	}

	/** Has no spot engines of a failure domain for a while. */
	removeOffer(domain: string, noneMs: number): void {
		this.#noneUntil.set(`${domain} true`, this.timers.getNow() + noneMs);
	}

	/** Ends all engines of a failure domain, which has none for a while. */
	removeDomain(domain: string, noneMs: number): void {
		this.engines = this.engines.filter(engine => engine.domain !== domain);
		for (const isSpot of [true, false]) {
			this.#noneUntil.set(`${domain} ${isSpot}`, this.timers.getNow() + noneMs);
		}
	}

	advance(ms: number): void {
		const now = this.timers.getNow();
		this.engines = this.engines.filter(({leavesAt}) => leavesAt > now);
		for (const {domain, isSpot} of this.engines) {
			this.cost += this.serviceSpec.domainPrices.get(domain)! * (isSpot ? this.serviceSpec.spotPrice : 1) * ms / 1000;
		}
	}

	listRegistered(): ScalingEngine[] {
		const now = this.timers.getNow();
		return this.engines.filter(({servesAt}) => servesAt <= now).map(({domain, isSpot, leavesAt, isReclaimed}) => ({
			domain, isSpot, slots, isLeaving: leavesAt < Infinity, isReclaimed, isServing: leavesAt === Infinity, isPrefillOnly: false,
		}));
	}

	count(isSpot: boolean): number {
		return this.engines.filter(engine => engine.isSpot === isSpot && engine.leavesAt === Infinity).length;
	}
}

class ModelStore extends DutyStore {
	readonly values = new Map<string, {readonly value: string; readonly revision: number}>();
	#revision = 0;

	async read(key: string): Promise<StoredValue> {
		return {
			value: undefined, revision: 0, era: undefined, ...this.values.get(key),
		};
	}

	async tryTransact(expected: ReadonlyMap<string, number>, writes: readonly StoreWrite[]): Promise<number | undefined> {
		if ([...expected].some(([key, revision]) => (this.values.get(key)?.revision ?? 0) !== revision)) {
			return undefined;
		}

		this.#revision++;
		for (const {key, value} of writes) {
			this.values.set(key, {value, revision: this.#revision});
		}

		return this.#revision;
	}

	async acquireLease(): Promise<DutyLease> {
		throw new Error('not expected');
	}

	async renewLease(): Promise<boolean> {
		throw new Error('not expected');
	}
}

class ModelDuty extends Duty {
	number: number | undefined;
	handoverCount = 0;

	get name(): string {
		return 'scale/model';
	}

	get isHeld(): boolean {
		return this.number !== undefined;
	}

	async tryCall(send: (fence: DutyFence) => Promise<DutyOutcome>): Promise<DutyOutcome | undefined> {
		return this.number === undefined ? undefined : send({holder: 'vm', number: this.number, isSafe: () => true});
	}

	async releaseToPreferred(): Promise<void> {
		this.handoverCount++;
	}

	subscribe(): () => void {
		return () => undefined;
	}
}

/** One entry that may hold the duty. */
class ModelEntry {
	readonly duty = new ModelDuty();
	meter = new WorkMeter();
	readonly failures: unknown[] = [];
	readonly orderer: EngineOrderer;
	isAllocator = false;

	constructor(world: ScalingWorld) {
		const {timers, platform, store} = world;
		this.orderer = new EngineOrderer('model', {
			duty: this.duty,
			platform,
			store,
			timers,
			getSpec: () => platform.serviceSpec,
			listEngines: () => platform.listRegistered(),
			getWork: slotsPerEngine => this.isAllocator ? {summary: this.meter.sumWork(slotsPerEngine, timers.getNow()), startedAt: this.meter.startedAt} : undefined,
			isWorkComplete: () => true,
			onDecision: () => undefined,
			onOrder: () => undefined,
			onFailure: (_task, error) => {
				this.failures.push(error);
			},
		});
		this.orderer.start();
	}
}

/** Two entries, the platform and callers whose requests a second are given as a function of time in milliseconds. */
export class ScalingWorld {
	readonly timers = new ManualTimers();
	readonly store = new ModelStore();
	readonly platform: ModelPlatform;
	readonly entries: readonly [ModelEntry, ModelEntry];
	/** Times at which the work that arrives in half a second was more than the serving engines do on time, in milliseconds. */
	readonly shortAt: number[] = [];
	#term = 0;
	readonly #recentWork: number[] = [];
	readonly #endings: Array<{readonly at: number; readonly run: () => void}> = [];

	constructor(readonly random: RandomSource, serviceSpec: ScalingSpec = spec) {
		this.platform = new ModelPlatform(this.timers, random, serviceSpec, () => parseOrders(this.store.values.get(formatOrdersKey('model'))?.value));
		this.entries = [new ModelEntry(this), new ModelEntry(this)];
	}

	/** Makes one entry the allocator and the holder, from now and as soon as a lease has passed. */
	async replaceHolder(index: 0 | 1, getRate: (at: number) => number): Promise<void> {
		for (const entry of this.entries) {
			entry.duty.number = undefined;
			entry.isAllocator = entry === this.entries[index];
		}

		await this.run(3000, getRate);
		this.entries[index].duty.number = ++this.#term;
	}

	async run(ms: number, getRate: (at: number) => number): Promise<void> {
		const endAt = this.timers.getNow() + ms;
		while (this.timers.getNow() < endAt) {
			const now = this.timers.getNow();
			const meter = this.entries.find(({isAllocator}) => isAllocator)?.meter;
			const mean = getRate(now) * stepMs / 1000;
			const arrivals = Math.floor(mean + this.random.getRandom());
			for (let index = 0; index < arrivals; index++) {
				this.#addRequest(meter, now);
			}

			this.#recentWork.push(arrivals * (promptMs + (holdMs / slots)));
			this.#recentWork.splice(0, this.#recentWork.length - (500 / stepMs));
			const serving = this.platform.listRegistered().filter(({isServing}) => isServing).length;
			if (this.#recentWork.reduce((sum, work) => sum + work, 0) > serving * 500 * maxUtilisation) {
				this.shortAt.push(now);
			}

			await this.timers.advance(stepMs);
			this.platform.advance(stepMs);
			while (this.#endings.length > 0 && this.#endings[0]!.at <= this.timers.getNow()) {
				this.#endings.shift()!.run();
			}
		}
	}

	#addRequest(meter: WorkMeter | undefined, now: number): void {
		if (!meter) {
			return;
		}

		meter.onWaitEnd(meter.onArrival(now), promptMs, false, now);
		meter.onHold(now);
		meter.onDecode(now);
		this.#endings.push({
			at: now + holdMs,
			run: () => {
				meter.onRelease(this.timers.getNow());
			},
		});
	}
}

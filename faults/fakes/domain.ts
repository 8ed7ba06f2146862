import type {DomainRecord} from '../../src/authority/index.js';
import {serviceKind} from '../../src/deployment/index.js';
import type {Deployment, EngineRole} from '../../src/deployment/index.js';
import {upstreamState} from '../../src/feed/index.js';
import type {Fact, FactKind, FactValues} from '../../src/feed/index.js';
import {
	requestOperation, isOpenOperation, listOperations, operationKind, operationState,
} from '../../src/operations/index.js';
import type {Operation, OperationKind} from '../../src/operations/index.js';
import type {RoleChange} from '../../src/planning/index.js';
import type {Step} from '../../src/procedures/index.js';
import {RandomSource} from '../../src/rates/index.js';
import {storeKey} from '../../src/store/index.js';
import type {Store} from '../../src/store/index.js';
import {ManualTimers} from '../../src/timers/index.js';
import type {TimerService} from '../../src/timers/index.js';
import {enginePhase} from '../../src/upstreams/index.js';
import {FakeEntry} from './entry.js';
import {FakeOrderEngine} from './orders.js';
import type {ArrivedOrder} from './orders.js';
import {FakePlatform, FakeStore} from './store.js';

/** How a test's domain is set up. */
export type FakeDomainOptions = {
	readonly seed: number;
	readonly isFenced: boolean;
	/** Whether engines refuse old fencing numbers. */
	readonly hasFence?: boolean;
	/** Whether a draining engine refuses new work. */
	readonly hasDrain?: boolean;
	/** Whether entries tell the truth about what still runs. */
	readonly hasBarrier?: boolean;
	readonly wrapStore?: (store: Store, timers: TimerService) => Store;
	readonly createLeaseTimers?: (timers: TimerService) => TimerService;
	readonly onBefore?: (entry: FakeEntry, step: Step) => Promise<void>;
	readonly onAfter?: (entry: FakeEntry, step: Step) => Promise<void>;
};

/** The failure domain of every test here. */
export const domainName = 'kigali-1';

const engineIds = ['e1', 'e2', 'e3', 'e4'] as const;
const instanceIds = ['a1', 'a2'] as const;
const feedMs = 2;
const awayMs = 1500;
const workEveryMs = 700;
const listLagMs = 12_000;

/** A failure domain of three entries, four engines and a plain service of two instances, moved by a test. */
export class FakeDomain {
	readonly timers = new ManualTimers();
	readonly platform = new FakePlatform(this.timers);
	readonly operators = new FakeStore(this.platform);
	readonly engines = new Map<string, FakeOrderEngine>();
	readonly entries: FakeEntry[] = [];
	/** What must never be seen. */
	readonly violations: string[] = [];
	/** VMs of the entries killed for good. */
	readonly killed: string[] = [];
	/** Changes of role that the plan wants. */
	readonly plan: RoleChange[] = [];
	readonly random: RandomSource;
	readonly #options: FakeDomainOptions;
	readonly #roles = new Map<string, EngineRole>();
	readonly #stopped = new Set<string>();
	#read: {readonly revision: number; readonly record: DomainRecord} | undefined;
	#version = 0;

	constructor(options: FakeDomainOptions) {
		this.#options = options;
		this.random = new RandomSource(options.seed);
		this.platform.vms = [1, 2, 3].map(index => this.#createVm(`vm-${index}`));
		for (const id of [...engineIds, ...instanceIds]) {
			this.engines.set(id, this.#createEngine(id));
		}

		for (const {vm} of this.platform.vms) {
			this.entries.push(this.#createEntry(vm));
		}
	}

	/** Starts everything and waits until an entry holds the authority and the engines serve. */
	async start(): Promise<void> {
		for (const entry of this.entries) {
			entry.start(workEveryMs);
		}

		this.setText('1');
		await this.waitFor('the first start', async () => this.isSettled(), 30_000);
	}

	/** Puts a new text into force everywhere. */
	setText(modelVersion: string, removed: readonly string[] = []): void {
		this.#version++;
		const text = JSON.stringify(this.#createDeployment(modelVersion, removed));
		for (const entry of this.entries) {
			entry.gate.run(() => {
				entry.facts.merge({
					kind: 'configuration', key: '', version: this.#version, value: {text, hash: ''},
				});
			});
		}
	}

	/** Wants a change of role, as the plan does. */
	setRole(upstream: string, role: EngineRole): void {
		this.#roles.set(upstream, role);
		this.plan.push({upstream, role, reason: 'the mix shifted'});
	}

	/** Asks for an operation as an operator. */
	async ask(id: string, kind: OperationKind, subject: string, replacement?: string): Promise<Operation> {
		return requestOperation(this.operators, domainName, {
			id, kind, subject, replacement, askedAt: this.timers.getWallTime(),
		});
	}

	/** Kills an entry for good; the platform's list notices it a while later. */
	abort(entry: FakeEntry): void {
		entry.gate.stop();
		this.killed.push(entry.vm);
		this.timers.startTimer(listLagMs, () => {
			this.platform.vms = this.platform.vms.filter(({vm}) => vm !== entry.vm);
		});
	}

	/** Finds the entry that acts as the authority. */
	findHolder(): FakeEntry | undefined {
		return this.entries.find(entry => !entry.gate.isFrozen && entry.authority.isHolder());
	}

	/** Reads the order record as it stands. */
	readRecord(): DomainRecord | undefined {
		const found = this.platform.values.get(storeKey.orders(domainName));
		if (found && this.#read?.revision !== found.revision) {
			this.#read = {revision: found.revision, record: JSON.parse(found.value) as DomainRecord};
		}

		return this.#read?.record;
	}

	/** Moves time in small pieces until `check` holds. Throws when it does not within `limitMs`. */
	async waitFor(what: string, check: () => Promise<boolean>, limitMs: number): Promise<void> {
		const end = this.timers.getNow() + limitMs;
		while (!await check()) {
			if (this.timers.getNow() >= end) {
				throw new RangeError(`${what} did not come about in ${limitMs} ms: ${await this.explainState()}`);
			}

			await this.timers.advance(500);
		}
	}

	/** Asks whether everything is as the text, the plan and the operators want it, at the engines and in every live entry. */
	async isSettled(): Promise<boolean> {
		const operations = await listOperations(this.operators, domainName);
		const record = this.readRecord();
		if (!record || !this.findHolder() || operations.some(operation => isOpenOperation(operation))) {
			return false;
		}

		const text = this.#findText();
		const isListed = (id: string) => text.upstreams.some(upstream => upstream.id === id);
		return Object.keys(record.upstreams).every(id => isListed(id)) && text.upstreams.every(({id}) => this.#isAsWanted(id, text, operations, record));
	}

	/** Asks whether all is as wanted, or what is not has a reason that only the operators or the text can end. */
	async isAtRest(): Promise<boolean> {
		const waits = this.findHolder()?.authority.listWaits() ?? [];
		return await this.isSettled() || (waits.length > 0 && waits.every(([, detail]) => detail.startsWith('the floor of')));
	}

	/** Says where things stand, for failures. */
	async explainState(): Promise<string> {
		const operations = await listOperations(this.operators, domainName);
		const engines = [...this.engines].map(([id, {state}]) => `${id} ${state.phase} ${state.role} ${state.version} ${state.running}`);
		const waits = this.findHolder()?.authority.listWaits() ?? [];
		return JSON.stringify({
			holder: this.findHolder()?.vm, operations: operations.map(({id, state, detail}) => `${id} ${state} ${detail}`), engines, waits, record: this.readRecord(),
		});
	}

	/** Stops every plain instance whose withdrawal is done, as an operator would, and counts what that cuts. */
	async stopWithdrawn(): Promise<void> {
		const operations = await listOperations(this.operators, domainName);
		for (const {kind, state, subject} of operations) {
			const engine = this.engines.get(subject);
			if (kind !== operationKind.withdraw || state !== operationState.done || !engine || this.#stopped.has(subject) || !subject.startsWith('a')) {
				continue;
			}

			this.#stopped.add(subject);
			engine.cuts.push(...engine.running);
		}
	}

	/** Throws when an order, a cut request or an answer was not as it must be. */
	check(): void {
		const cuts = [...this.engines].flatMap(([id, {cuts}]) => cuts.map(work => `${work} was cut at ${id}`));
		const faults = [...this.violations, ...cuts];
		if (faults.length > 0) {
			throw new RangeError(faults.slice(0, 4).join('; '));
		}
	}

	#isAsWanted(id: string, text: Deployment, operations: readonly Operation[], record: DomainRecord): boolean {
		const known = record.upstreams[id];
		const engine = this.engines.get(id);
		const out = findOut(id, operations);
		if (!known || !engine || known.order?.state === 'intended' || !this.#isKnown(id, known.state)) {
			return false;
		}

		if (out) {
			return known.isDrained && known.state === (out === 'withdrawn' ? upstreamState.withdrawn : upstreamState.closing);
		}

		const service = text.services.find(({name}) => name === known.service);
		const role = this.#roles.get(id);
		const isRight = service?.kind !== serviceKind.model || (engine.state.phase === enginePhase.ready && !engine.isDown
			&& engine.state.version === service.version && (role === undefined || engine.state.role === role));
		return known.state === upstreamState.serving && isRight;
	}

	#isKnown(id: string, state: string): boolean {
		return this.entries.every(entry => entry.gate.isFrozen || entry.isCut || entry.facts.get('upstream', id)?.value.state === state);
	}

	#findText(): Deployment {
		const texts = this.entries.flatMap(entry => entry.gate.isFrozen ? [] : [entry.getDeployment()]);
		return texts.find(text => text !== undefined) ?? this.#createDeployment('1', []);
	}

	/** The record in the store must hold an order as the last one of its engine while that order takes effect. */
	#onApplied(id: string, {from, order, at}: ArrivedOrder): void {
		const note = this.readRecord()?.upstreams[id]?.order;
		if (note?.id !== order.id) {
			this.violations.push(`${order.kind} ${order.id} of ${from} took effect at ${id} at ${at} while the record has ${note?.kind ?? 'no order'} ${note?.id ?? ''}`);
		}
	}

	#createEngine(id: string): FakeOrderEngine {
		const {isFenced, hasFence = true, hasDrain = true} = this.#options;
		return new FakeOrderEngine({
			timers: this.timers,
			id,
			isFenced,
			hasFence,
			hasDrain,
			setup: {
				role: 'mixed', model: 'contracts', version: '1', adapters: [],
			},
			awayMs,
			onApplied: arrived => {
				this.#onApplied(id, arrived);
			},
		});
	}

	#createEntry(vm: string): FakeEntry {
		const {
			wrapStore, createLeaseTimers, onBefore, onAfter, hasBarrier = true,
		} = this.#options;
		const entry: FakeEntry = new FakeEntry({
			vm,
			domain: domainName,
			incarnation: 1,
			timers: this.timers,
			platform: this.platform,
			engines: this.engines,
			hooks: {
				async onBefore(step) {
					await onBefore?.(entry, step);
					await entry.gate.wait();
				},
				async onAfter(step) {
					await onAfter?.(entry, step);
					await entry.gate.wait();
				},
			},
			random: () => this.random.getRandom(),
			planChange: () => this.#findChange(),
			wrapStore: wrapStore && (store => wrapStore(store, this.timers)),
			leaseTimers: createLeaseTimers?.(this.timers),
			hasBarrier,
		});
		entry.facts.subscribe(fact => {
			this.#publishFact(entry, fact);
		});
		return entry;
	}

	#findChange(): RoleChange | undefined {
		return this.plan.find(({upstream, role}) => this.readRecord()?.upstreams[upstream]?.setup?.role !== role);
	}

	/** Passes a fact on, a moment later, to the entries that can be heard by this one. */
	#publishFact<Kind extends FactKind>(from: FakeEntry, fact: Fact<Kind> & {readonly value: FactValues[Kind]}): void {
		if (fact.kind === 'configuration' || (fact.kind === 'member' && fact.key !== from.vm)) {
			return;
		}

		for (const entry of this.entries) {
			if (entry !== from) {
				this.timers.startTimer(feedMs, () => {
					sendFact(from, entry, fact);
				});
			}
		}
	}

	#createVm(vm: string) {
		return {
			vm, domain: domainName, http: '', peer: '', state: 'live' as const,
		};
	}

	#createDeployment(version: string, removed: readonly string[]): Deployment {
		const upstreams = [...engineIds, ...instanceIds].filter(id => !removed.includes(id)).map(id => ({
			id, service: id.startsWith('e') ? 'contracts' : 'refunds', domain: domainName, address: id, fenced: this.#options.isFenced, pieces: 64,
		}));
		return {
			name: 'umuhora',
			goodputWeight: 0.5,
			domains: [domainName],
			callers: {requestsPerSecond: 50, tokensPerSecond: 100_000},
			services: [
				{
					kind: serviceKind.model, name: 'contracts', dependsOn: [],
					model: 'contracts', version, adapters: [], deadlineMs: 30_000, firstTokenMs: 900, betweenTokensMs: 54, floor: {prefill: 1, decode: 1},
				},
				{
					kind: serviceKind.application, name: 'refunds', dependsOn: [], deadlineMs: 2000, nonRepeatable: [],
				},
			],
			upstreams,
		};
	}
}

/** Merges what two entries know, as a feed does after a break. */
export function joinFacts(left: FakeEntry, right: FakeEntry): void {
	for (const [from, to] of [[left, right], [right, left]] as const) {
		for (const kind of ['upstream', 'member', 'configuration'] as const) {
			for (const fact of from.facts.list(kind)) {
				sendFact(from, to, fact);
			}
		}
	}
}

function sendFact(from: FakeEntry, to: FakeEntry, fact: Fact): void {
	if (!from.isCut && !to.isCut) {
		to.gate.run(() => {
			to.facts.merge(fact);
		});
	}
}

function findOut(id: string, operations: readonly Operation[]): 'drained' | 'withdrawn' | undefined {
	let out: 'drained' | 'withdrawn' | undefined;
	for (const {kind, subject, replacement, state} of operations) {
		if (state === operationState.refused) {
			continue;
		}

		if (subject === id) {
			out = kind === operationKind.drain ? 'drained' : (kind === operationKind.resume ? undefined : 'withdrawn');
		} else if (replacement === id) {
			out = undefined;
		}
	}

	return out;
}

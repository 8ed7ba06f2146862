import {engineRole} from '../src/deployment/index.js';
import type {Deployment, EngineRole, Upstream} from '../src/deployment/index.js';
import {createDecisions} from '../src/entry/decisions.js';
import type {Decisions, PolicyName} from '../src/entry/decisions.js';
import {NotRunError} from '../src/errors/index.js';
import {FactTable, upstreamState} from '../src/feed/index.js';
import type {Fact} from '../src/feed/index.js';
import {Metrics} from '../src/metrics/index.js';
import {RandomSource} from '../src/rates/index.js';
import type {SelectionStrategy, Placement, RoutingRequest} from '../src/routing/index.js';
import {placementOutcome} from '../src/routing/index.js';
import {ManualTimers} from '../src/timers/index.js';
import {enginePhase, hashPrefixes, orderKind} from '../src/upstreams/index.js';
import type {GenerateEvent} from '../src/upstreams/index.js';
import {defaultEngineOptions, EngineCore, LocalEngine} from '../standins/engine/index.js';
import {computeFigures} from './figures.js';
import type {JobResult, RunFigures} from './figures.js';
import type {Job} from './mix.js';
import {createPrompt} from './prompt.js';

/** Options of a simulated run; times in milliseconds of simulated time. */
export type SimulationOptions = {
	readonly deployment: Deployment;
	readonly policy: PolicyName;
	readonly jobs: readonly Job[];
	readonly durationMs: number;
	readonly deadlineMs: number;
	/** Target for the time to the first token. */
	readonly firstTokenMs: number;
	readonly entriesPerDomain: number;
	readonly seed: number;
	/** Creates the strategy by which an entry selects an engine; `WeightedSelection` if absent. */
	readonly createStrategy?: (random: RandomSource) => SelectionStrategy;
	/** Initial role of each engine; all engines are mixed if absent. */
	readonly roles?: readonly EngineRole[];
};

type Entry = {readonly vm: string; readonly domain: string; readonly facts: FactTable; readonly decisions: Decisions};

const gossipDelayMs = 100;
const authorityIntervalMs = 1000;

/**
Simulates a deployment in one process with manual timers: real routing decisions over the stand-ins of engines.
Instead of gossip, facts reach the other entries after a fixed delay, load reports only those of the same failure domain. Instead of an authority with its stored record,
the first entry of each failure domain applies role changes itself.
*/
export class Simulation {
	readonly #timers = new ManualTimers();
	readonly #options: SimulationOptions;
	readonly #engines = new Map<string, LocalEngine>();
	readonly #entries: Entry[] = [];
	readonly #results: JobResult[] = [];
	readonly #random: RandomSource;
	readonly #changingUpstreams = new Set<string>();
	#lastVersion = 1;
	#roleChanges = 0;
	#retries = 0;
	#separatePrefills = 0;

	constructor(options: SimulationOptions) {
		this.#options = options;
		this.#random = new RandomSource(options.seed);
		for (const [index, upstream] of options.deployment.upstreams.entries()) {
			const role = options.roles?.[index] ?? engineRole.mixed;
			const core = new EngineCore(this.#timers, {...defaultEngineOptions, pieces: upstream.pieces, setup: {...defaultEngineOptions.setup, role}});
			this.#engines.set(upstream.id, new LocalEngine(core, address => this.#engines.get(address)?.core));
		}

		for (const domain of options.deployment.domains) {
			for (let index = 0; index < options.entriesPerDomain; index++) {
				this.#entries.push(this.#createEntry(`${domain}-vm-${index}`, domain));
			}
		}
	}

	/** Runs all jobs and returns the figures. */
	async run(): Promise<RunFigures> {
		const {jobs, durationMs, deadlineMs} = this.#options;
		this.#publishMembers();
		this.#timers.startInterval(authorityIntervalMs, () => {
			this.#planRoleChanges();
		});
		for (const job of jobs) {
			this.#timers.startTimer(job.sendAtMs, () => {
				void this.#serveJob(job);
			});
		}

		await this.#timers.advance(durationMs + deadlineMs + 1000);
		for (const engine of this.#engines.values()) {
			engine.core.close();
		}

		return computeFigures(this.#results, durationMs / 1000, {roleChanges: this.#roleChanges, retries: this.#retries, apart: this.#separatePrefills});
	}

	#createEntry(vm: string, domain: string): Entry {
		const facts = new FactTable();
		const decisions = createDecisions({
			settings: {vm, domain},
			timers: this.#timers,
			facts,
			metrics: new Metrics(),
			getDeployment: () => this.#options.deployment,
			getEngine: upstream => this.#engines.get(upstream.id)!,
			policy: this.#options.policy,
			seed: this.#random.pickIndex(1e9),
			createChoice: this.#options.createStrategy,
		});
		facts.subscribe(fact => {
			this.#timers.startTimer(gossipDelayMs, () => {
				this.#sendFact(fact, domain);
			});
		});
		decisions.start();
		return {
			vm, domain, facts, decisions,
		};
	}

	#sendFact(fact: Fact, domain: string): void {
		for (const entry of this.#entries) {
			if (fact.kind !== 'load' || entry.domain === domain) {
				entry.facts.merge(fact);
			}
		}
	}

	#publishMembers(): void {
		for (const {vm, domain, facts} of this.#entries) {
			facts.merge({
				kind: 'member',
				key: vm,
				version: 1,
				value: {
					vm, domain, http: vm, peer: vm, incarnation: 1, state: 'live', configuration: 1, closed: {},
				},
			});
		}
	}

	#planRoleChanges(): void {
		for (const domain of this.#options.deployment.domains) {
			const authority = this.#entries.find(entry => entry.domain === domain);
			const change = authority?.decisions.planner.planChange();
			if (authority && change && !this.#changingUpstreams.has(change.upstream)) {
				void this.#applyRoleChange(authority, change.upstream, change.role);
			}
		}
	}

	async #applyRoleChange(authority: Entry, upstream: string, role: 'prefill' | 'decode' | 'mixed'): Promise<void> {
		this.#changingUpstreams.add(upstream);
		this.#roleChanges++;
		const {core} = this.#engines.get(upstream)!;
		const {model, version, adapters} = core.getState();
		const setup = {
			role, model, version, adapters,
		};
		this.#publishState(authority, upstream, {state: upstreamState.closing});
		await this.#timers.sleep(gossipDelayMs * 2);
		while (this.#entries.some(entry => entry.decisions.router.countInFlight(upstream) > 0)) {
			await this.#timers.sleep(gossipDelayMs);
		}

		core.applyOrder({
			id: `order-${this.#lastVersion}`, fence: 1, kind: orderKind.configure, target: setup,
		});
		while (core.getState().phase !== enginePhase.ready) {
			await this.#timers.sleep(gossipDelayMs);
		}

		this.#publishState(authority, upstream, {state: upstreamState.serving, setup});
		this.#changingUpstreams.delete(upstream);
	}

	#publishState(authority: Entry, key: string, value: (Fact<'upstream'>)['value']): void {
		this.#lastVersion++;
		authority.facts.merge({
			kind: 'upstream', key, version: this.#lastVersion, value,
		});
	}

	async #serveJob(job: Job): Promise<void> {
		const entry = this.#entries[this.#random.pickIndex(this.#entries.length)]!;
		const prompt = createPrompt(job);
		const {router} = entry.decisions;
		const now = this.#timers.getNow();
		const request: RoutingRequest = {
			id: `${job.sendAtMs}`,
			caller: job.caller,
			service: 'contracts',
			model: 'contracts',
			version: '1',
			promptTokens: job.promptTokens,
			maxTokens: job.maxTokens,
			prefixes: hashPrefixes({model: 'contracts', version: '1', prompt}),
			priority: 0,
			firstTokenTargetAt: now + this.#options.firstTokenMs,
			deadlineAt: now + this.#options.deadlineMs,
		};
		const recorder = new JobRecorder(job, now, this.#timers);
		const excluded = new Set<string>();
		for (;;) {
			let placement: Placement;
			try {
				placement = router.choosePlacement(request, excluded);
			} catch (error) {
				this.#results.push(recorder.finish(false, error instanceof NotRunError ? error.reason : 'error'));
				return;
			}

			router.onSent(request, placement);
			this.#separatePrefills += placement.prefillEngine ? 1 : 0;
			const outcome = await this.#tryPlacement(entry, {request, placement, prompt}, recorder);
			router.onEnd(request, placement, outcome);
			if (outcome === placementOutcome.done || outcome === placementOutcome.cancelled || !router.tryRetry(request.service)) {
				this.#results.push(recorder.finish(outcome === placementOutcome.done));
				return;
			}

			this.#retries++;
			excluded.add(placement.upstream.id);
		}
	}

	async #tryPlacement(entry: Entry, {request, placement, prompt}: {readonly request: RoutingRequest; readonly placement: Placement; readonly prompt: string}, recorder: JobRecorder) {
		const controller = new AbortController();
		const timer = this.#timers.startTimer(request.deadlineAt - this.#timers.getNow(), () => {
			controller.abort();
		});
		const generateRequest = {...request, prompt, offset: recorder.tokens};
		const engine = this.#engines.get(placement.upstream.id)!;
		try {
			let kv: string | undefined;
			if (placement.prefillEngine) {
				const exported = await this.#engines.get(placement.prefillEngine.id)!.exportKv(generateRequest);
				const imported = await engine.importKv(placement.prefillEngine.id, exported.handle);
				kv = imported.handle;
			}

			if (controller.signal.aborted) {
				return placementOutcome.cancelled;
			}

			for await (const event of engine.generate({...generateRequest, kv}, controller.signal)) {
				recorder.onEvent(event);
				entry.decisions.router.onTokens(request, placement, event.kind === 'token' ? 1 : 0);
			}

			return placementOutcome.done;
		} catch (error) {
			if (controller.signal.aborted) {
				await engine.cancel(request.id);
				return placementOutcome.cancelled;
			}

			return error instanceof NotRunError ? placementOutcome.notRun : placementOutcome.broken;
		} finally {
			timer.cancel();
		}
	}
}

class JobRecorder {
	tokens = 0;
	#firstAt: number | undefined;
	#lastAt = 0;
	readonly #gapsMs: number[] = [];

	constructor(private readonly job: Job, private readonly startedAt: number, private readonly timers: ManualTimers) {}

	onEvent(event: GenerateEvent): void {
		if (event.kind === 'end') {
			return;
		}

		const now = this.timers.getNow();
		this.tokens++;
		if (this.#firstAt === undefined) {
			this.#firstAt = now;
		} else {
			this.#gapsMs.push(now - this.#lastAt);
		}

		this.#lastAt = now;
	}

	finish(isOnTime: boolean, refusal?: string): JobResult {
		return {
			job: this.job, refusal, isOnTime, tokens: this.tokens, firstTokenMs: this.#firstAt === undefined ? undefined : this.#firstAt - this.startedAt, gapsMs: this.#gapsMs,
		};
	}
}

/** Creates a deployment with one model service on six engines in three failure domains. */
export function createDeployment(goodputWeight: number, deadlineMs: number): Deployment {
	const domains = ['d-1', 'd-2', 'd-3'];
	const upstreams: Upstream[] = Array.from({length: 6}, (_value, index) => ({
		id: `engine-${index}`, service: 'contracts', domain: domains[index % 3]!, address: `engine-${index}`, fenced: true, pieces: 64,
	}));
	return {
		name: 'model',
		goodputWeight,
		domains,
		callers: {requestsPerSecond: 1000, tokensPerSecond: 1e9},
		services: [{
			kind: 'model', name: 'contracts', dependsOn: [], model: 'contracts', version: '1', adapters: [], deadlineMs, firstTokenMs: 900, betweenTokensMs: 54, floor: {prefill: 1, decode: 1},
		}],
		upstreams,
	};
}

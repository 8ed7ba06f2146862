import type {Deployment, Upstream} from '../../src/deployment/index.js';
import {NotRunError} from '../../src/errors/index.js';
import {FactTable, upstreamState} from '../../src/feed/index.js';
import type {UpstreamState} from '../../src/feed/index.js';
import {DemandMeter} from '../../src/loads/index.js';
import {RandomSource} from '../../src/rates/index.js';
import {
	createRouting, FleetView, placementOutcome,
} from '../../src/routing/index.js';
import type {Placement, LatencyRouter, RoutingRequest} from '../../src/routing/index.js';
import {vmState} from '../../src/store/index.js';
import {ManualTimers} from '../../src/timers/index.js';
import {orderKind} from '../../src/upstreams/index.js';
import {
	defaultEngineOptions, EngineCore, engineEvent, LocalEngine,
} from '../../standins/engine/index.js';

/** Mechanisms that a cell can take out. */
export const decisionMechanism = {
	openCheck: 'open check',
	ownWork: 'own work since the report',
	health: 'health',
	retryBudget: 'retry budget',
	liveEntries: 'live entries',
	admission: 'admission',
} as const;

/** What became of one request. */
export type Ended = {readonly id: string; readonly isWhole: boolean; readonly refusal: string | undefined; readonly attempts: number};

const model = {model: 'contracts', version: '1'} as const;

/** The router of one entry over engines' stand-ins, with a caller that retries as serving does. */
export class DecisionWorld {
	readonly timers = new ManualTimers();
	readonly facts = new FactTable();
	readonly engines = new Map<string, LocalEngine>();
	readonly router: LatencyRouter;
	readonly ended: Ended[] = [];
	#version = 1;
	#count = 0;

	/** Takes the seed, the mechanism that is out, and the engines as `id` and failure domain. */
	constructor(seed: number, private readonly without: string | undefined, engines: ReadonlyArray<readonly [string, string]>) {
		const upstreams: Upstream[] = engines.map(([id, domain]) => ({
			id, service: 'contracts', domain, address: id, fenced: true, pieces: 64,
		}));
		for (const {id} of upstreams) {
			this.engines.set(id, new LocalEngine(new EngineCore(this.timers, defaultEngineOptions)));
		}

		const deployment: Deployment = {
			name: 'faults', goodputWeight: 1, domains: ['here', 'there'], callers: {requestsPerSecond: 1e6, tokensPerSecond: 1e9}, services: [], upstreams,
		};
		const view = without === decisionMechanism.openCheck
			? new OpenView(this.facts, () => deployment, 'here')
			: new FleetView(this.facts, () => deployment, 'here');
		this.router = createRouting({
			timers: this.timers,
			random: new RandomSource(seed),
			facts: this.facts,
			view,
			demand: new DemandMeter(this.timers),
			getLocalShare: () => 1,
			hasAdmission: without !== decisionMechanism.admission,
		}).router;
	}

	/** Ends the engines' own timers. */
	close(): void {
		for (const engine of this.engines.values()) {
			engine.core.close();
		}
	}

	/** Publishes what the authority says of an upstream. */
	publishState(id: string, state: UpstreamState = upstreamState.closing): void {
		this.#version++;
		this.facts.merge({
			kind: 'upstream', key: id, version: this.#version, value: {state},
		});
	}

	/** Publishes an engine's load report, which is late by the engine's own lag. */
	publishLoad(id: string, change: Partial<{prefillTokens: number; running: number}> = {}): void {
		this.#version++;
		this.facts.merge({
			kind: 'load', key: id, version: this.#version, value: {...this.engines.get(id)!.core.getLoad(), ...change},
		});
	}

	/** Publishes that an entry lives in a failure domain, or that nothing is heard of it. */
	publishEntry(vm: string, domain: string, isHeard = true): void {
		if (!isHeard) {
			if (this.without !== decisionMechanism.liveEntries) {
				this.facts.forget('member', vm);
			}

			return;
		}

		this.#version++;
		this.facts.merge({
			kind: 'member',
			key: vm,
			version: this.#version,
			value: {
				vm, domain, http: vm, peer: vm, incarnation: 1, state: vmState.live, configuration: 1, closed: {},
			},
		});
	}

	/** Orders an engine to refuse new work as not run. */
	async drainEngine(id: string): Promise<void> {
		this.#version++;
		await this.engines.get(id)!.sendOrder({id: `drain ${id} ${this.#version}`, fence: 1, kind: orderKind.drain});
	}

	/** Orders an engine to take work again. */
	async resumeEngine(id: string): Promise<void> {
		this.#version++;
		await this.engines.get(id)!.sendOrder({id: `resume ${id} ${this.#version}`, fence: 1, kind: orderKind.resume});
	}

	/** Sends `count` requests at once, without waiting for their ends. */
	sendRequests(count: number, change: Partial<RoutingRequest> = {}): void {
		for (let index = 0; index < count; index++) {
			void this.#serve(change);
		}
	}

	/** Counts the requests that an engine's journal says it started, from the time `since` on. */
	countStarted(id: string, since = 0): number {
		return this.engines.get(id)!.core.journal.list().filter(row => row.event === engineEvent.requestStarted && row.at >= since).length;
	}

	/** Counts the requests that an engine's journal says it refused. */
	countRefused(id: string): number {
		return this.engines.get(id)!.core.journal.list().filter(row => row.event === engineEvent.requestRefused).length;
	}

	/** Throws when a request that was refused as not run stands in an engine's journal as started. */
	checkNotRun(): void {
		const refused = new Set(this.ended.filter(({refusal}) => refusal !== undefined).map(({id}) => id));
		for (const [id, engine] of this.engines) {
			const row = engine.core.journal.list().find(row => row.event === engineEvent.requestStarted && refused.has(row.id));
			if (row) {
				throw new RangeError(`${row.id} was refused as not run and ${id} started it`);
			}
		}
	}

	async #serve(change: Partial<RoutingRequest>): Promise<void> {
		this.#count++;
		const now = this.timers.getNow();
		const work: RoutingRequest = {
			id: `request-${this.#count}`,
			caller: 'cafe',
			service: 'contracts',
			...model,
			promptTokens: 400,
			maxTokens: 40,
			prefixes: [],
			priority: 0,
			firstTokenTargetAt: now + 900,
			deadlineAt: now + 20_000,
			...change,
		};
		const excluded = new Set<string>();
		for (let attempts = 1; ; attempts++) {
			let placement: Placement;
			try {
				placement = this.router.choosePlacement(work, excluded);
			} catch (error) {
				this.ended.push({
					id: work.id, isWhole: false, refusal: (error as {reason: string}).reason, attempts,
				});
				return;
			}

			const outcome = await this.#tryPlacement(work, placement);
			if (outcome === placementOutcome.done || !(this.without === decisionMechanism.retryBudget || this.router.tryRetry(work.service))) {
				this.ended.push({
					id: work.id, isWhole: outcome === placementOutcome.done, refusal: outcome === placementOutcome.notRun ? 'retry_budget' : undefined, attempts,
				});
				return;
			}

			excluded.add(placement.upstream.id);
		}
	}

	async #tryPlacement(work: RoutingRequest, placement: Placement) {
		if (this.without !== decisionMechanism.ownWork) {
			this.router.onSent(work, placement);
		}

		let outcome: typeof placementOutcome[keyof typeof placementOutcome] = placementOutcome.broken;
		try {
			const engine = this.engines.get(placement.upstream.id)!;
			for await (const event of engine.generate({...work, prompt: work.id, offset: 0}, new AbortController().signal)) {
				if (event.kind === 'token' && this.without !== decisionMechanism.health) {
					this.router.onTokens(work, placement, 1);
				}
			}

			outcome = placementOutcome.done;
		} catch (error) {
			outcome = error instanceof NotRunError ? placementOutcome.notRun : placementOutcome.broken;
		}

		this.router.onEnd(work, placement, this.without === decisionMechanism.health ? placementOutcome.cancelled : outcome);
		return outcome;
	}
}

/** A view that does not look at what the authority says. */
class OpenView extends FleetView {
	override isAvailable(): boolean {
		return true;
	}
}

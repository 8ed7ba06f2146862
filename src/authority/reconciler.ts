import PQueue from 'p-queue';
import type {Deployment} from '../deployment/index.js';
import {AuthorityLostError} from '../errors/index.js';
import type {Fact, FactTable} from '../feed/index.js';
import type {RolePlanner} from '../planning/index.js';
import {runProcedure} from '../procedures/index.js';
import type {StepHooks} from '../procedures/index.js';
import type {TimerService} from '../timers/index.js';
import {explainMinimum} from './roleminimum.js';
import {advanceUpstream} from './advance.js';
import type {PassResult} from './advance.js';
import {updateUpstream} from './record.js';
import type {DomainRecord} from './record.js';
import {applyConfiguration} from './configuration.js';
import type {TermContext} from './termcontext.js';
import {computeDesiredState} from './desired.js';

/** What a {@link Reconciler} needs. */
export type ReconcilerDependencies = {
	readonly context: TermContext;
	readonly timers: TimerService;
	readonly facts: FactTable;
	readonly getDeployment: () => Deployment | undefined;
	readonly planner: RolePlanner;
	/** Returns a uniform random number in [0, 1), for jitter. */
	readonly getRandom: () => number;
	/** Lists what a drain of an upstream waits for. */
	readonly listDrainBlockers: (upstreamId: string) => readonly string[];
	readonly hooks: StepHooks;
};

/** State of the passes over one upstream: the time of the next on the monotonic clock, how many failed in a row, and what the upstream waits for. */
type Progress = {nextPassAt: number; failures: number; waitsFor: string};

/** Maximum number of upstreams that are worked on at the same time. */
const concurrency = 8;
/** Interval between passes over an upstream that is in its desired state, in milliseconds; jitter adds up to a quarter of it. */
const steadyIntervalMs = 15_000;
/** Interval between passes over an upstream that waits for something, in milliseconds. */
const waitIntervalMs = 500;
/** Base of the exponential backoff, in milliseconds: doubled once for each failed pass in a row. The delay is random, between half of the backoff and all of it. */
const baseBackoffMs = 250;
const maxBackoffMs = 15_000;

/**
Brings every upstream of the domain to the state that the configuration, the operators and the role plan require. It runs at
most one procedure at a time for each upstream, and a few at a time in the domain. Each term of authority has its own.
*/
export class Reconciler {
	readonly #dependencies: ReconcilerDependencies;
	readonly #queue = new PQueue({concurrency});
	readonly #progress = new Map<string, Progress>();
	readonly #running = new Set<string>();
	readonly #unsubscribe: () => void;
	readonly #incarnations = new Map<string, number>();
	#configurationVersion = 0;
	#isStopped = false;

	constructor(dependencies: ReconcilerDependencies) {
		this.#dependencies = dependencies;
		this.#unsubscribe = dependencies.facts.subscribe(fact => {
			if (fact.kind === 'load') {
				this.#onLoad(fact as Fact<'load'>);
			}
		});
	}

	/** Makes the next pass over an upstream due now, except after a failed pass, whose backoff stays. */
	schedulePass(id: string): void {
		const progress = this.#progress.get(id);
		if (progress?.failures === 0) {
			progress.nextPassAt = 0;
		}
	}

	/** Explains what an upstream waits for; empty when it waits for nothing. */
	explainWait(id: string): string {
		return this.#progress.get(id)?.waitsFor ?? '';
	}

	/** Lists the upstreams that wait, each with what it waits for. */
	listWaits(): ReadonlyArray<readonly [id: string, waitsFor: string]> {
		return [...this.#progress].map(([id, {waitsFor}]) => [id, waitsFor] as const).filter(([, waitsFor]) => waitsFor !== '');
	}

	/** Applies a new configuration and the role plan, then starts the passes that are due. To be called at short intervals. */
	async advance(): Promise<void> {
		const deployment = this.#dependencies.getDeployment();
		const version = this.#dependencies.facts.get('configuration', '')?.version ?? 0;
		const {recordStore} = this.#dependencies.context;
		if (!deployment || version < recordStore.record.configuration) {
			// An earlier term has acted on a newer configuration: this process waits until it has received that one.
			return;
		}

		if (version !== this.#configurationVersion || applyConfiguration(recordStore.record, deployment, this.#dependencies.context.domain, version) !== recordStore.record) {
			await recordStore.update(record => applyConfiguration(record, deployment, this.#dependencies.context.domain, version));
			this.#configurationVersion = version;
			this.#scheduleAll();
		}

		await this.#applyRolePlan(deployment);
		for (const id of Object.keys(recordStore.record.upstreams)) {
			this.#startDue(id, deployment);
		}
	}

	/** Starts no further procedure and waits for the running ones to end. */
	async stop(): Promise<void> {
		this.#isStopped = true;
		this.#unsubscribe();
		await this.#queue.onIdle();
	}

	/** Starts no further procedure and does not wait: running ones fail with `AuthorityLostError` at their next check or write. */
	abort(): void {
		this.#isStopped = true;
		this.#unsubscribe();
	}

	#scheduleAll(): void {
		for (const progress of this.#progress.values()) {
			progress.nextPassAt = 0;
		}
	}

	#onLoad({key, value}: Fact<'load'>): void {
		if (this.#incarnations.get(key) !== value.incarnation) {
			this.#incarnations.set(key, value.incarnation);
			this.schedulePass(key);
		}
	}

	#startDue(id: string, deployment: Deployment): void {
		const progress = this.#progress.get(id) ?? {nextPassAt: 0, failures: 0, waitsFor: ''};
		this.#progress.set(id, progress);
		if (this.#isStopped || this.#running.has(id) || progress.nextPassAt > this.#dependencies.timers.getNow()) {
			return;
		}

		this.#running.add(id);
		void this.#queue.add(async () => this.#runPass(id, deployment, progress));
	}

	async #runPass(id: string, deployment: Deployment, progress: Progress): Promise<void> {
		const {context, timers, hooks} = this.#dependencies;
		try {
			const upstream = context.recordStore.record.upstreams[id];
			if (!this.#isStopped && upstream) {
				const result = await runProcedure(advanceUpstream(context, id, {
					desired: computeDesiredState(deployment, context.domain, id, upstream),
					drainBlockers: this.#dependencies.listDrainBlockers(id),
					violatedMinimum: explainMinimum(deployment, context.recordStore.record, id, context.domain),
				}), hooks);
				this.#onResult(id, progress, result);
			}
		} catch (error) {
			progress.failures++;
			progress.nextPassAt = timers.getNow() + this.#computeBackoff(progress.failures);
			this.#onFailure(id, error);
		}

		this.#running.delete(id);
	}

	#onResult(id: string, progress: Progress, {isSteady, waitsFor}: PassResult): void {
		progress.failures = 0;
		if (waitsFor !== '' && waitsFor !== progress.waitsFor) {
			this.#dependencies.context.recordUpstreamEvent(id, {kind: 'waiting', detail: waitsFor});
		}

		progress.waitsFor = waitsFor;
		const pauseMs = isSteady ? steadyIntervalMs * (1 + (this.#dependencies.getRandom() / 4)) : waitIntervalMs;
		progress.nextPassAt = this.#dependencies.timers.getNow() + (isSteady || waitsFor !== '' ? pauseMs : 0);
	}

	#onFailure(id: string, error: unknown): void {
		if (error instanceof AuthorityLostError) {
			return;
		}

		const detail = error instanceof Error ? `${error.name}: ${error.message}` : String(error);
		this.#dependencies.context.recordUpstreamEvent(id, {kind: 'failed', detail});
	}

	#computeBackoff(failures: number): number {
		const fullMs = Math.min(maxBackoffMs, baseBackoffMs * (2 ** failures));
		return (fullMs / 2) + (this.#dependencies.getRandom() * fullMs / 2);
	}

	/** Writes the role plan's next change to the record, once the change before it has ended. */
	async #applyRolePlan(deployment: Deployment): Promise<void> {
		const {context, planner} = this.#dependencies;
		const {record} = context.recordStore;
		if (Object.values(record.upstreams).some(({role, setup, isEngine}) => isEngine && role !== undefined && role !== setup?.role)) {
			return;
		}

		const change = planner.planChange();
		if (!change || !this.#isRoleChangeAllowed(record, change.upstream, deployment)) {
			return;
		}

		context.recordUpstreamEvent(change.upstream, {kind: 'planned', detail: `${change.role}: ${change.reason}`});
		await context.recordStore.update(before => updateUpstream(before, change.upstream, upstream => ({...upstream, role: change.role})));
		this.schedulePass(change.upstream);
	}

	#isRoleChangeAllowed(record: DomainRecord, id: string, deployment: Deployment): boolean {
		const upstream = record.upstreams[id];
		return upstream !== undefined && upstream.hold === undefined && upstream.senders.length === 0
			&& explainMinimum(deployment, record, id, this.#dependencies.context.domain) === undefined;
	}
}

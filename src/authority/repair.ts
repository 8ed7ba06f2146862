import PQueue from 'p-queue';
import type {Deployment} from '../deployment/index.js';
import {AuthorityLostError} from '../errors/index.js';
import type {Fact, FactTable} from '../feed/index.js';
import type {RolePlanner} from '../planning/index.js';
import {runProcedure} from '../procedures/index.js';
import type {StepHooks} from '../procedures/index.js';
import type {TimerService} from '../timers/index.js';
import {explainFloor} from './floor.js';
import {advanceUpstream} from './reconcile.js';
import type {PassResult} from './reconcile.js';
import {updateUpstream} from './record.js';
import type {DomainRecord} from './record.js';
import {applyText} from './sync.js';
import type {Term} from './term.js';
import {computeWanted} from './wanted.js';

/** What {@link Repair} needs. */
export type RepairOptions = {
	readonly term: Term;
	readonly timers: TimerService;
	readonly facts: FactTable;
	readonly getDeployment: () => Deployment | undefined;
	readonly planner: RolePlanner;
	/** Number from 0 to 1 for jitter. */
	readonly random: () => number;
	/** Lists for whom a drain of an upstream waits. */
	readonly listWaiting: (upstream: string) => readonly string[];
	readonly hooks: StepHooks;
};

type Progress = {due: number; failures: number; waitsFor: string};

const concurrency = 8;
/** An engine at rest is looked at this often, in milliseconds. */
const sweepMs = 15_000;
const waitMs = 500;
const firstBackoffMs = 250;
const maxBackoffMs = 15_000;

/**
Brings every upstream of the domain to what the text, the operators and the plan of roles say, one procedure at a time
for each upstream and a few at a time in the domain. It runs for one term of authority.
*/
export class Repair {
	readonly #options: RepairOptions;
	readonly #queue = new PQueue({concurrency});
	readonly #progress = new Map<string, Progress>();
	readonly #busy = new Set<string>();
	readonly #unsubscribe: () => void;
	readonly #incarnations = new Map<string, number>();
	#configuration = 0;
	#isStopped = false;

	constructor(options: RepairOptions) {
		this.#options = options;
		this.#unsubscribe = options.facts.subscribe(fact => {
			if (fact.kind === 'load') {
				this.#onLoad(fact as Fact<'load'>);
			}
		});
	}

	/** Looks at an upstream at the next turn instead of at its time. */
	resume(id: string): void {
		const progress = this.#progress.get(id);
		if (progress?.failures === 0) {
			progress.due = 0;
		}
	}

	/** Explains what an upstream waits for; empty for nothing. */
	explainWait(id: string): string {
		return this.#progress.get(id)?.waitsFor ?? '';
	}

	/** Lists the upstreams that wait, with what for. */
	listWaits(): ReadonlyArray<readonly [id: string, waitsFor: string]> {
		return [...this.#progress].map(([id, {waitsFor}]) => [id, waitsFor] as const).filter(([, waitsFor]) => waitsFor !== '');
	}

	/** Starts what is due; called again and again. */
	async advance(): Promise<void> {
		const deployment = this.#options.getDeployment();
		const version = this.#options.facts.get('configuration', '')?.version ?? 0;
		const {book} = this.#options.term;
		if (!deployment || version < book.record.configuration) {
			// This process knows an older text than the one last acted on: it waits until it has heard of that.
			return;
		}

		if (version !== this.#configuration || applyText(book.record, deployment, this.#options.term.domain, version) !== book.record) {
			await book.update(record => applyText(record, deployment, this.#options.term.domain, version));
			this.#configuration = version;
			this.#resumeAll();
		}

		await this.#planRole(deployment);
		for (const id of Object.keys(book.record.upstreams)) {
			this.#startDue(id, deployment);
		}
	}

	/** Takes no new procedure and waits for those that run. */
	async stop(): Promise<void> {
		this.#isStopped = true;
		this.#unsubscribe();
		await this.#queue.onIdle();
	}

	/** Takes no new procedure; those that run meet the lost authority by themselves. */
	abort(): void {
		this.#isStopped = true;
		this.#unsubscribe();
	}

	#resumeAll(): void {
		for (const progress of this.#progress.values()) {
			progress.due = 0;
		}
	}

	#onLoad({key, value}: Fact<'load'>): void {
		if (this.#incarnations.get(key) !== value.incarnation) {
			this.#incarnations.set(key, value.incarnation);
			this.resume(key);
		}
	}

	#startDue(id: string, deployment: Deployment): void {
		const progress = this.#progress.get(id) ?? {due: 0, failures: 0, waitsFor: ''};
		this.#progress.set(id, progress);
		if (this.#isStopped || this.#busy.has(id) || progress.due > this.#options.timers.getNow()) {
			return;
		}

		this.#busy.add(id);
		void this.#queue.add(async () => this.#runPass(id, deployment, progress));
	}

	async #runPass(id: string, deployment: Deployment, progress: Progress): Promise<void> {
		const {term, timers, hooks} = this.#options;
		try {
			const known = term.book.record.upstreams[id];
			if (!this.#isStopped && known) {
				const result = await runProcedure(advanceUpstream(term, id, {
					wanted: computeWanted(deployment, term.domain, id, known),
					waiting: this.#options.listWaiting(id),
					floor: explainFloor(deployment, term.book.record, id, term.domain),
				}), hooks);
				this.#onResult(id, progress, result);
			}
		} catch (error) {
			progress.failures++;
			progress.due = timers.getNow() + this.#computeBackoff(progress.failures);
			this.#onFailure(id, error);
		}

		this.#busy.delete(id);
	}

	#onResult(id: string, progress: Progress, {isSteady, waitsFor}: PassResult): void {
		progress.failures = 0;
		if (waitsFor !== '' && waitsFor !== progress.waitsFor) {
			this.#options.term.recordUpstream(id, {kind: 'waiting', detail: waitsFor});
		}

		progress.waitsFor = waitsFor;
		const pauseMs = isSteady ? sweepMs * (1 + (this.#options.random() / 4)) : waitMs;
		progress.due = this.#options.timers.getNow() + (isSteady || waitsFor !== '' ? pauseMs : 0);
	}

	#onFailure(id: string, error: unknown): void {
		if (error instanceof AuthorityLostError) {
			return;
		}

		const detail = error instanceof Error ? `${error.name}: ${error.message}` : String(error);
		this.#options.term.recordUpstream(id, {kind: 'failed', detail});
	}

	#computeBackoff(failures: number): number {
		const fullMs = Math.min(maxBackoffMs, firstBackoffMs * (2 ** failures));
		return (fullMs / 2) + (this.#options.random() * fullMs / 2);
	}

	/** Takes in the plan's next change of role once the one before has ended. */
	async #planRole(deployment: Deployment): Promise<void> {
		const {term, planner} = this.#options;
		const {record} = term.book;
		if (Object.values(record.upstreams).some(({role, setup, isEngine}) => isEngine && role !== undefined && role !== setup?.role)) {
			return;
		}

		const change = planner.planChange();
		if (!change || !this.#isAllowed(record, change.upstream, deployment)) {
			return;
		}

		term.recordUpstream(change.upstream, {kind: 'planned', detail: `${change.role}: ${change.reason}`});
		await term.book.update(before => updateUpstream(before, change.upstream, known => ({...known, role: change.role})));
		this.resume(change.upstream);
	}

	#isAllowed(record: DomainRecord, id: string, deployment: Deployment): boolean {
		const known = record.upstreams[id];
		return known !== undefined && known.hold === undefined && known.senders.length === 0
			&& explainFloor(deployment, record, id, this.#options.term.domain) === undefined;
	}
}

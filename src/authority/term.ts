import {AuthorityLostError} from '../errors/index.js';
import {isOpenOperation, reportOperations, watchOperations} from '../operations/index.js';
import type {Operation, OperationProgress} from '../operations/index.js';
import {runProcedure} from '../procedures/index.js';
import {absentRevision} from '../store/index.js';
import type {VmRecord} from '../store/index.js';
import {listDrainBlockers} from './barrier.js';
import {DomainRecordStore} from './recordstore.js';
import type {SendTracker} from './sendtracker.js';
import type {DomainMembers} from './domainmembers.js';
import {decideOperation} from './operate.js';
import type {AuthorityDependencies} from './dependencies.js';
import {FactPublisher} from './factpublisher.js';
import {Reconciler} from './reconciler.js';
import {takeOver} from './takeover.js';
import type {HistoryNote, TermContext} from './termcontext.js';

/** What an {@link AuthorityTerm} needs; the same for all terms of an entry, except for `isLeased`. */
export type AuthorityTermDependencies = {
	/** What the entry's `Authority` was given. */
	readonly environment: AuthorityDependencies;
	readonly holder: string;
	readonly sendTracker: SendTracker;
	readonly members: DomainMembers;
	/** Whether the lease that this term began with is still held and has not expired in between. */
	readonly isLeased: () => boolean;
};

/** Interval at which operations are applied and due upstreams are advanced, in milliseconds. */
const advanceIntervalMs = 200;
/** Interval at which the platform's list of VMs is read, in milliseconds. */
const vmListIntervalMs = 2000;
/** Longest wait of one watch call for new operations, in milliseconds. */
const operationsWatchTimeoutMs = 10_000;
/** Delay before a failed store call or a failed round is tried again, in milliseconds; for store calls, jitter adds up to the same amount. */
const retryDelayMs = 500;
/** Interval at which the record is read again while it has sends of other processes, in milliseconds. */
const sendersRefreshIntervalMs = 2000;
/** Silence after which an entry counts as not live, in milliseconds. A drain does not wait for an entry that is neither live nor on the list of VMs. */
const memberTimeoutMs = 10_000;

/** One term of authority over a failure domain, from the takeover to the loss or release of the lease. */
export class AuthorityTerm {
	readonly #dependencies: AuthorityTermDependencies;
	readonly #recordStore: DomainRecordStore;
	readonly #reconciler: Reconciler;
	readonly #abort = new AbortController();
	readonly #lastEventSequences = new Map<string, number>();
	readonly #reportedProgress = new Map<string, string>();
	#operations: readonly Operation[] = [];
	#vms: readonly VmRecord[] | undefined;
	#hasTakenOver = false;
	#sendersRefreshedAt = 0;

	constructor(dependencies: AuthorityTermDependencies) {
		this.#dependencies = dependencies;
		const {environment, holder} = dependencies;
		const publisher = new FactPublisher(environment.facts);
		this.#recordStore = new DomainRecordStore({
			store: environment.store,
			domain: environment.domain,
			holder,
			createId: environment.createId,
			onWritten(record, revision) {
				publisher.publish(record, revision);
			},
		});
		this.#reconciler = new Reconciler({
			context: this.#createContext(),
			timers: environment.timers,
			facts: environment.facts,
			getDeployment: environment.getDeployment,
			planner: environment.planner,
			getRandom: environment.getRandom,
			listDrainBlockers: upstreamId => this.#listDrainBlockers(upstreamId),
			hooks: environment.hooks ?? {},
		});
	}

	/** Whether this term has taken over the domain record and still holds it. */
	get isActive(): boolean {
		return this.#hasTakenOver && !this.#recordStore.isLost;
	}

	/** Whether the term has ended; a new one may then begin. */
	get isOver(): boolean {
		return this.#abort.signal.aborted;
	}

	/** Lists the upstreams that wait, each with what it waits for. */
	listWaits(): ReadonlyArray<readonly [id: string, waitsFor: string]> {
		return this.#reconciler.listWaits();
	}

	/** Takes over the domain and brings its upstreams to their desired state until the term ends. */
	async run(): Promise<void> {
		const {environment} = this.#dependencies;
		while (!this.#hasTakenOver && !this.#isEnded()) {
			await this.#tryTakeOver();
		}

		void this.#watchOperations();
		void this.#watchVms();
		while (!this.#isEnded()) {
			await this.#advance();
			await environment.timers.sleep(advanceIntervalMs, this.#abort.signal);
		}

		this.abort();
	}

	/** Ends the term at once. Running procedures are not waited for; they fail with `AuthorityLostError` at their next check or write. */
	abort(): void {
		this.#reconciler.abort();
		this.#recordStore.close();
		this.#abort.abort();
	}

	/** Ends the term once the running procedures have ended. */
	async stop(): Promise<void> {
		await this.#reconciler.stop();
		this.abort();
	}

	async #tryTakeOver(): Promise<void> {
		const {environment} = this.#dependencies;
		try {
			await runProcedure(takeOver(this.#recordStore), environment.hooks);
			this.#hasTakenOver = true;
			environment.metrics.count('takeovers', 'taken');
			this.#recordDomainEvent('took over', `fence ${this.#recordStore.record.fence}`);
		} catch (error) {
			environment.metrics.count('takeovers', error instanceof Error ? error.name : 'failed');
			await environment.timers.sleep(retryDelayMs * (1 + environment.getRandom()), this.#abort.signal);
		}
	}

	#isEnded(): boolean {
		return this.#abort.signal.aborted || !this.#dependencies.isLeased() || (this.#hasTakenOver && this.#recordStore.isLost);
	}

	async #advance(): Promise<void> {
		try {
			await this.#refreshSenders();
			await this.#applyOperations();
			await this.#reconciler.advance();
		} catch (error) {
			this.#recordDomainEvent('failed', error instanceof Error ? `${error.name}: ${error.message}` : String(error));
			await this.#dependencies.environment.timers.sleep(retryDelayMs, this.#abort.signal);
		}
	}

	/** While the record has sends of other processes, reads it again at intervals: those processes remove their sends once these have ended. */
	async #refreshSenders(): Promise<void> {
		const now = this.#dependencies.environment.timers.getNow();
		const hasSenders = Object.values(this.#recordStore.record.upstreams).some(({senders}) => senders.some(sendId => !sendId.startsWith(`${this.#dependencies.holder}#`)));
		if (hasSenders && now - this.#sendersRefreshedAt >= sendersRefreshIntervalMs) {
			this.#sendersRefreshedAt = now;
			await this.#recordStore.refresh();
		}
	}

	/** Applies the operators' open operations to the record, then reports their progress to the store where it changed. */
	async #applyOperations(): Promise<void> {
		const progress = new Map<string, OperationProgress>();
		for (const operation of this.#operations.filter(operation => isOpenOperation(operation))) {
			const next = await this.#applyOperation(operation);
			const progressText = `${next.state} ${next.detail}`;
			if (this.#reportedProgress.get(operation.id) !== progressText) {
				progress.set(operation.id, next);
			}
		}

		if (progress.size === 0) {
			return;
		}

		await reportOperations(this.#dependencies.environment.store, this.#dependencies.environment.domain, progress);
		for (const [id, {state, detail}] of progress) {
			this.#reportedProgress.set(id, `${state} ${detail}`);
			this.#recordOperationEvent(id, {kind: state, detail});
		}
	}

	async #applyOperation(operation: Operation): Promise<OperationProgress> {
		const {record} = this.#recordStore;
		const decide = (before: typeof record) => decideOperation(operation, {
			record: before,
			holder: this.#dependencies.holder,
			explainWait: id => this.#reconciler.explainWait(id),
			findMember: vm => this.#dependencies.members.findMember(vm),
			isLive: vm => this.#dependencies.members.isLive(vm, memberTimeoutMs),
		});
		const decision = decide(record);
		if (decision.record !== record) {
			const cause = this.#recordOperationEvent(operation.id, {kind: operation.kind, detail: `${operation.subject} ${operation.replacement ?? ''}`.trimEnd()});
			for (const id of [operation.subject, operation.replacement]) {
				if (id !== undefined) {
					this.#lastEventSequences.set(`engine/${id}`, cause);
				}
			}

			await this.#recordStore.update(before => decide(before).record);
			this.#reconciler.schedulePass(operation.subject);
			this.#reconciler.schedulePass(operation.replacement ?? '');
		}

		return decision.progress;
	}

	async #watchOperations(): Promise<void> {
		const {environment} = this.#dependencies;
		let revision = absentRevision;
		while (!this.#isEnded()) {
			try {
				const found = await watchOperations(environment.store, environment.domain, revision, operationsWatchTimeoutMs);
				revision = found?.revision ?? revision;
				this.#operations = found?.operations ?? this.#operations;
				this.#forgetReported();
			} catch {
				await environment.timers.sleep(retryDelayMs * (1 + environment.getRandom()), this.#abort.signal);
			}
		}
	}

	#forgetReported(): void {
		const knownIds = new Set(this.#operations.map(({id}) => id));
		for (const id of this.#reportedProgress.keys()) {
			if (!knownIds.has(id)) {
				this.#reportedProgress.delete(id);
			}
		}
	}

	async #watchVms(): Promise<void> {
		const {environment} = this.#dependencies;
		while (!this.#isEnded()) {
			try {
				const vms = await environment.vms.readVms();
				this.#vms = vms.filter(({domain}) => domain === environment.domain);
			} catch {
				// The last list stays in use. A VM that has left the list since then only makes drains wait longer.
			}

			await environment.timers.sleep(vmListIntervalMs, this.#abort.signal);
		}
	}

	#listDrainBlockers(upstreamId: string): readonly string[] {
		const {members, environment} = this.#dependencies;
		const upstream = this.#recordStore.record.upstreams[upstreamId];
		const {stopped} = this.#recordStore.record;
		return listDrainBlockers({
			upstreamId,
			version: environment.facts.get('upstream', upstreamId)?.version ?? Infinity,
			vms: this.#vms,
			members: members.list(),
			isLive: vm => members.isLive(vm, Math.max(memberTimeoutMs, upstream?.isEngine ? 0 : this.#getDeadlineMs(upstream?.service))),
			isStopped: vm => stopped[vm] !== undefined && (members.findMember(vm)?.incarnation ?? 0) <= stopped[vm],
		});
	}

	/** Deadline of a service's requests, in milliseconds. An application can't be ordered to refuse late requests, so a drain waits for a silent entry's calls until their deadline. */
	#getDeadlineMs(service: string | undefined): number {
		return this.#dependencies.environment.getDeployment()?.services.find(({name}) => name === service)?.deadlineMs ?? 0;
	}

	#createContext(): TermContext {
		const {environment, sendTracker} = this.#dependencies;
		return {
			domain: environment.domain,
			recordStore: this.#recordStore,
			sendTracker,
			answeredOrders: new Set(),
			createId: environment.createId,
			checkHeld: () => {
				if (this.#isEnded()) {
					throw new AuthorityLostError(`this entry no longer holds the authority over failure domain ${environment.domain}`);
				}
			},
			getEngine: (id, upstream) => environment.getEngine(id, upstream.address),
			recordUpstreamEvent: (id, note) => {
				this.#recordEvent(`engine/${id}`, note);
			},
			countOrder(outcome) {
				environment.metrics.count('orders', outcome);
			},
		};
	}

	#recordDomainEvent(kind: string, detail: string): void {
		this.#recordEvent(`domain/${this.#dependencies.environment.domain}`, {kind, detail});
	}

	#recordOperationEvent(id: string, note: HistoryNote): number {
		return this.#recordEvent(`operation/${id}`, note);
	}

	/** Records an event in the history, with the last event of the same subject as its cause. */
	#recordEvent(subject: string, {kind, detail}: HistoryNote): number {
		const sequence = this.#dependencies.environment.history.record({
			subject, kind, detail, cause: this.#lastEventSequences.get(subject),
		});
		this.#lastEventSequences.set(subject, sequence);
		return sequence;
	}
}

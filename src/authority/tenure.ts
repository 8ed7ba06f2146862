import {AuthorityLostError} from '../errors/index.js';
import {isOpenOperation, reportOperations, watchOperations} from '../operations/index.js';
import type {Operation, OperationProgress} from '../operations/index.js';
import {runProcedure} from '../procedures/index.js';
import {absentRevision} from '../store/index.js';
import type {VmRecord} from '../store/index.js';
import {listWaiting} from './barrier.js';
import {OrderBook} from './book.js';
import type {Claims} from './claims.js';
import type {Members} from './members.js';
import {decideOperation} from './operate.js';
import type {AuthorityOptions} from './options.js';
import {FactPublisher} from './publish.js';
import {Repair} from './repair.js';
import {takeOver} from './takeover.js';
import type {Note, Term} from './term.js';

/** What one term shares with those before and after it. */
export type TenureParts = {
	readonly options: AuthorityOptions;
	readonly holder: string;
	readonly claims: Claims;
	readonly members: Members;
	/** Says whether the lease is still the one that this term began with. */
	readonly isLeased: () => boolean;
};

const turnMs = 200;
const vmListMs = 2000;
const operationsWaitMs = 10_000;
const retryMs = 500;
const sendersMs = 2000;
/** An entry that is not on the VM list is waited for until it was silent this long, in milliseconds. */
const silenceMs = 10_000;

/** One term of authority, from the takeover to the loss or release of the lease. */
export class Tenure {
	readonly #parts: TenureParts;
	readonly #book: OrderBook;
	readonly #repair: Repair;
	readonly #abort = new AbortController();
	readonly #causes = new Map<string, number>();
	readonly #reported = new Map<string, string>();
	#operations: readonly Operation[] = [];
	#vms: readonly VmRecord[] | undefined;
	#isTaken = false;
	#refreshedAt = 0;

	constructor(parts: TenureParts) {
		this.#parts = parts;
		const {options, holder} = parts;
		const publisher = new FactPublisher(options.facts);
		this.#book = new OrderBook({
			store: options.store,
			domain: options.domain,
			holder,
			createId: options.createId,
			onWritten(record, revision) {
				publisher.publish(record, revision);
			},
		});
		this.#repair = new Repair({
			term: this.#createTerm(),
			timers: options.timers,
			facts: options.facts,
			getDeployment: options.getDeployment,
			planner: options.planner,
			random: options.random,
			listWaiting: upstream => this.#listWaiting(upstream),
			hooks: options.hooks ?? {},
		});
	}

	/** Whether the fence was raised by this term and the record is still this holder's. */
	get isActing(): boolean {
		return this.#isTaken && !this.#book.isLost;
	}

	/** Whether the term is over. */
	get isOver(): boolean {
		return this.#abort.signal.aborted;
	}

	/** Lists the upstreams that wait, with what for. */
	listWaits(): ReadonlyArray<readonly [id: string, waitsFor: string]> {
		return this.#repair.listWaits();
	}

	/** Runs the term until it is over. */
	async run(): Promise<void> {
		const {options} = this.#parts;
		while (!this.#isTaken && !this.#isEnded()) {
			await this.#tryTakeOver();
		}

		void this.#watchOperations();
		void this.#watchVms();
		while (!this.#isEnded()) {
			await this.#advance();
			await options.timers.sleep(turnMs, this.#abort.signal);
		}

		this.abort();
	}

	/** Ends the term at once; what runs meets the lost authority by itself. */
	abort(): void {
		this.#repair.abort();
		this.#book.close();
		this.#abort.abort();
	}

	/** Ends the term once the procedures that run have ended. */
	async stop(): Promise<void> {
		await this.#repair.stop();
		this.abort();
	}

	async #tryTakeOver(): Promise<void> {
		const {options} = this.#parts;
		try {
			await runProcedure(takeOver(this.#book), options.hooks);
			this.#isTaken = true;
			options.metrics.count('takeovers', 'taken');
			this.#recordDomain('took over', `fence ${this.#book.record.fence}`);
		} catch (error) {
			options.metrics.count('takeovers', error instanceof Error ? error.name : 'failed');
			await options.timers.sleep(retryMs * (1 + options.random()), this.#abort.signal);
		}
	}

	#isEnded(): boolean {
		return this.#abort.signal.aborted || !this.#parts.isLeased() || (this.#isTaken && this.#book.isLost);
	}

	async #advance(): Promise<void> {
		try {
			await this.#readSenders();
			await this.#applyOperations();
			await this.#repair.advance();
		} catch (error) {
			this.#recordDomain('failed', error instanceof Error ? `${error.name}: ${error.message}` : String(error));
			await this.#parts.options.timers.sleep(retryMs, this.#abort.signal);
		}
	}

	/** While sends of earlier holders may still arrive, looks whether these have released them. */
	async #readSenders(): Promise<void> {
		const now = this.#parts.options.timers.getNow();
		const hasSenders = Object.values(this.#book.record.upstreams).some(({senders}) => senders.some(send => !send.startsWith(`${this.#parts.holder}#`)));
		if (hasSenders && now - this.#refreshedAt >= sendersMs) {
			this.#refreshedAt = now;
			await this.#book.readAgain();
		}
	}

	/** Carries the operators' wishes into the record, then tells how far they are. */
	async #applyOperations(): Promise<void> {
		const progress = new Map<string, OperationProgress>();
		for (const operation of this.#operations.filter(operation => isOpenOperation(operation))) {
			const next = await this.#applyOperation(operation);
			const text = `${next.state} ${next.detail}`;
			if (this.#reported.get(operation.id) !== text) {
				progress.set(operation.id, next);
			}
		}

		if (progress.size === 0) {
			return;
		}

		await reportOperations(this.#parts.options.store, this.#parts.options.domain, progress);
		for (const [id, {state, detail}] of progress) {
			this.#reported.set(id, `${state} ${detail}`);
			this.#recordOperation(id, {kind: state, detail});
		}
	}

	async #applyOperation(operation: Operation): Promise<OperationProgress> {
		const {record} = this.#book;
		const decide = (before: typeof record) => decideOperation(operation, {
			record: before,
			holder: this.#parts.holder,
			explainWait: id => this.#repair.explainWait(id),
			findMember: vm => this.#parts.members.findMember(vm),
			isHeard: vm => this.#parts.members.isHeard(vm, silenceMs),
		});
		const decision = decide(record);
		if (decision.record !== record) {
			const cause = this.#recordOperation(operation.id, {kind: operation.kind, detail: `${operation.subject} ${operation.replacement ?? ''}`.trimEnd()});
			for (const id of [operation.subject, operation.replacement]) {
				if (id !== undefined) {
					this.#causes.set(`engine/${id}`, cause);
				}
			}

			await this.#book.update(before => decide(before).record);
			this.#repair.resume(operation.subject);
			this.#repair.resume(operation.replacement ?? '');
		}

		return decision.progress;
	}

	async #watchOperations(): Promise<void> {
		const {options} = this.#parts;
		let revision = absentRevision;
		while (!this.#isEnded()) {
			try {
				const found = await watchOperations(options.store, options.domain, revision, operationsWaitMs);
				revision = found?.revision ?? revision;
				this.#operations = found?.operations ?? this.#operations;
				this.#forgetReported();
			} catch {
				await options.timers.sleep(retryMs * (1 + options.random()), this.#abort.signal);
			}
		}
	}

	#forgetReported(): void {
		const known = new Set(this.#operations.map(({id}) => id));
		for (const id of this.#reported.keys()) {
			if (!known.has(id)) {
				this.#reported.delete(id);
			}
		}
	}

	async #watchVms(): Promise<void> {
		const {options} = this.#parts;
		while (!this.#isEnded()) {
			try {
				const vms = await options.vms.readVms();
				this.#vms = vms.filter(({domain}) => domain === options.domain);
			} catch {
				// The last list is kept: a VM that left it meanwhile is only waited for longer.
			}

			await options.timers.sleep(vmListMs, this.#abort.signal);
		}
	}

	#listWaiting(upstream: string): readonly string[] {
		const {members, options} = this.#parts;
		const known = this.#book.record.upstreams[upstream];
		const {stopped} = this.#book.record;
		return listWaiting({
			upstream,
			version: options.facts.get('upstream', upstream)?.version ?? Infinity,
			vms: this.#vms,
			members: members.list(),
			isHeard: vm => members.isHeard(vm, Math.max(silenceMs, known?.isEngine ? 0 : this.#getDeadline(known?.service))),
			isStopped: vm => stopped[vm] !== undefined && (members.findMember(vm)?.incarnation ?? 0) <= stopped[vm],
		});
	}

	/** No order stops late work at a plain service: a silent entry's calls are waited for until their deadline. */
	#getDeadline(service: string | undefined): number {
		return this.#parts.options.getDeployment()?.services.find(({name}) => name === service)?.deadlineMs ?? 0;
	}

	#createTerm(): Term {
		const {options, claims} = this.#parts;
		return {
			domain: options.domain,
			book: this.#book,
			claims,
			answered: new Set(),
			createId: options.createId,
			checkHeld: () => {
				if (this.#isEnded()) {
					throw new AuthorityLostError(`the authority over ${options.domain} is lost`);
				}
			},
			getEngine: (id, known) => options.getEngine(id, known.address),
			recordUpstream: (id, note) => {
				this.#record(`engine/${id}`, note);
			},
			countOrder(outcome) {
				options.metrics.count('orders', outcome);
			},
		};
	}

	#recordDomain(kind: string, detail: string): void {
		this.#record(`domain/${this.#parts.options.domain}`, {kind, detail});
	}

	#recordOperation(id: string, note: Note): number {
		return this.#record(`operation/${id}`, note);
	}

	/** Records an event, caused by the last one of the same subject. */
	#record(subject: string, {kind, detail}: Note): number {
		const sequence = this.#parts.options.history.record({
			subject, kind, detail, cause: this.#causes.get(subject),
		});
		this.#causes.set(subject, sequence);
		return sequence;
	}
}

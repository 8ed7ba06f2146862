import {formatError} from '../errors/index.js';
import {leaseName, vmState} from '../store/index.js';
import {isLeaseCandidate} from './candidates.js';
import {SendTracker} from './sendtracker.js';
import {AuthorityStatus, Lease} from './lease.js';
import {DomainMembers} from './domainmembers.js';
import type {AuthorityDependencies} from './dependencies.js';
import {AuthorityTerm} from './term.js';

/** Time after which the store expires a lease that is not renewed, in milliseconds. */
export const leaseTtlMs = 9000;
/** How long before the store expires the lease its holder stops acting, in milliseconds. */
const leaseMarginMs = 1000;
/** Interval between two attempts to acquire or renew the lease, in milliseconds; jitter adds up to half of it. */
const renewIntervalMs = 2000;
/** Interval at which ended sends are removed from the domain record, in milliseconds. */
const sendReleaseIntervalMs = 2000;
/** An entry from which nothing was received for this long is not counted as a candidate for the lease, in milliseconds. */
const candidateTimeoutMs = 10_000;

/**
Takes part in the authority over one entry's failure domain. It tries to acquire the domain's lease; only the entry that
holds the authority sends orders to the domain's engines.

@example
```
const authority = new Authority(dependencies);
authority.start();
authority.isHolder(); // true once this entry has the lease and has taken over the domain record
await authority.stop();
```
*/
export class Authority extends AuthorityStatus {
	readonly #dependencies: AuthorityDependencies;
	readonly #lease: Lease;
	readonly #sendTracker: SendTracker;
	readonly #members: DomainMembers;
	readonly #holder: string;
	readonly #abort = new AbortController();
	#term: AuthorityTerm | undefined;

	constructor(dependencies: AuthorityDependencies) {
		super();
		this.#dependencies = dependencies;
		this.#holder = `${dependencies.vm}/${dependencies.incarnation}`;
		this.#sendTracker = new SendTracker(this.#holder);
		this.#members = new DomainMembers(dependencies.facts, dependencies.timers, dependencies.domain);
		this.#lease = new Lease({
			store: dependencies.store,
			timers: dependencies.leaseTimers ?? dependencies.timers,
			name: leaseName.authority(dependencies.domain),
			holder: this.#holder,
			ttlMs: leaseTtlMs,
			marginMs: leaseMarginMs,
		});
		dependencies.metrics.createGauge('crocus_waiting_upstreams', 'Upstreams of the domain that wait, such as in a drain', () => this.listWaits().length);
		dependencies.metrics.createGauge('crocus_authority', 'Whether this entry holds its domain\'s authority', () => Number(this.isHolder()));
	}

	/** Starts trying to acquire the lease. */
	start(): void {
		void this.#runLease();
		void this.#runSendRelease();
	}

	isHolder(): boolean {
		return this.#lease.isHolder() && (this.#term?.isActive ?? false);
	}

	/** Lists the domain's upstreams that wait, each with what it waits for. Empty on an entry that does not hold the authority. */
	listWaits(): ReadonlyArray<readonly [id: string, waitsFor: string]> {
		return this.#term?.listWaits() ?? [];
	}

	/** Waits for the running procedures to end, removes this process's ended sends from the domain record and then releases the lease. */
	async stop(): Promise<void> {
		this.#abort.abort();
		await this.#term?.stop();
		await this.#tryReleaseSends();
		this.#members.close();
		await this.#lease.release();
	}

	async #runLease(): Promise<void> {
		const {timers, getRandom} = this.#dependencies;
		for (let round = 0; !this.#abort.signal.aborted; round++) {
			try {
				await this.#tryLead(round);
			} catch (error) {
				this.#dependencies.history.record({subject: `domain/${this.#dependencies.domain}`, kind: 'failed', detail: formatError(error)});
			}

			await timers.sleep(renewIntervalMs * (1 + (getRandom() / 2)), this.#abort.signal);
		}
	}

	async #tryLead(round: number): Promise<void> {
		const isHeld = this.#isCandidate(round) && await this.#lease.tryAcquire();
		if (isHeld && !this.#abort.signal.aborted && (this.#term?.isOver ?? true)) {
			this.#startTerm();
		}
	}

	#isCandidate(round: number): boolean {
		const {vm, domain} = this.#dependencies;
		const liveVms = this.#members.list()
			.filter(member => member.state === vmState.live && this.#members.isLive(member.vm, candidateTimeoutMs))
			.map(member => member.vm);
		return this.#lease.isHolder() || isLeaseCandidate({
			domain, vm, liveVms, round,
		});
	}

	#startTerm(): void {
		const {termNumber} = this.#lease;
		const term = new AuthorityTerm({
			environment: this.#dependencies,
			holder: this.#holder,
			sendTracker: this.#sendTracker,
			members: this.#members,
			isLeased: () => this.#lease.isHolder() && this.#lease.termNumber === termNumber,
		});
		this.#term = term;
		void term.run();
	}

	async #runSendRelease(): Promise<void> {
		while (!this.#abort.signal.aborted) {
			await this.#dependencies.timers.sleep(sendReleaseIntervalMs, this.#abort.signal);
			await this.#tryReleaseSends();
		}
	}

	async #tryReleaseSends(): Promise<void> {
		if (!this.#sendTracker.hasEnded()) {
			return;
		}

		try {
			await this.#sendTracker.releaseEnded(this.#dependencies.store, this.#dependencies.domain);
		} catch {
			// The store does not answer. The next round tries again; after a stop, an operator has to confirm that this VM's process is stopped.
		}
	}
}

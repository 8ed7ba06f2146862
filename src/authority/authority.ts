import {leaseName, vmState} from '../store/index.js';
import {isLeaseCandidate} from './candidates.js';
import {SendTracker} from './sendtracker.js';
import {AuthorityStatus, Lease} from './lease.js';
import {DomainMembers} from './domainmembers.js';
import type {AuthorityDependencies} from './dependencies.js';
import {AuthorityTerm} from './term.js';

/** How long the store keeps a lease, in milliseconds. */
export const leaseTtlMs = 9000;
const leaseMarginMs = 1000;
const renewIntervalMs = 2000;
const sendReleaseIntervalMs = 2000;
/** An entry that was not heard from for so long does not count among those that try for the lease, in milliseconds. */
const candidateTimeoutMs = 10_000;

/**
One entry's part in the authority over its failure domain: it tries for the lease, and while it holds it, it alone
gives orders to the domain's engines.

@example
```
const authority = new Authority(options);
authority.start();
authority.isHolder(); // true once the lease and the order record are this entry's
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

	/** Begins to try for the lease. */
	start(): void {
		void this.#runLease();
		void this.#runSendRelease();
	}

	isHolder(): boolean {
		return this.#lease.isHolder() && (this.#term?.isActive ?? false);
	}

	/** Lists the domain's upstreams that wait, with what for; empty on an entry without the authority. */
	listWaits(): ReadonlyArray<readonly [id: string, waitsFor: string]> {
		return this.#term?.listWaits() ?? [];
	}

	/** Ends the procedures that run, gives up this process's claims and, last of all, the lease. */
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
			const isHeld = this.#isCandidate(round) && await this.#lease.tryAcquire();
			if (this.#abort.signal.aborted) {
				return;
			}

			if (isHeld && (this.#term?.isOver ?? true)) {
				this.#startTerm();
			}

			await timers.sleep(renewIntervalMs * (1 + (getRandom() / 2)), this.#abort.signal);
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
			// The store does not answer: the next round tries again, or an operator vouches for this VM.
		}
	}
}

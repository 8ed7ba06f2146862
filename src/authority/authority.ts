import {leaseName, vmState} from '../store/index.js';
import {isTrying} from './candidates.js';
import {Claims} from './claims.js';
import {Holdership, Lease} from './lease.js';
import {Members} from './members.js';
import type {AuthorityOptions} from './options.js';
import {Tenure} from './tenure.js';

/** How long the store keeps a lease, in milliseconds. */
export const leaseTtlMs = 9000;
const leaseMarginMs = 1000;
const renewMs = 2000;
const claimsMs = 2000;
/** An entry that was not heard from for so long does not count among those that try for the lease, in milliseconds. */
const candidateSilenceMs = 10_000;

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
export class Authority extends Holdership {
	readonly #options: AuthorityOptions;
	readonly #lease: Lease;
	readonly #claims: Claims;
	readonly #members: Members;
	readonly #holder: string;
	readonly #abort = new AbortController();
	#tenure: Tenure | undefined;

	constructor(options: AuthorityOptions) {
		super();
		this.#options = options;
		this.#holder = `${options.vm}/${options.incarnation}`;
		this.#claims = new Claims(this.#holder);
		this.#members = new Members(options.facts, options.timers, options.domain);
		this.#lease = new Lease({
			store: options.store,
			timers: options.leaseTimers ?? options.timers,
			name: leaseName.authority(options.domain),
			holder: this.#holder,
			ttlMs: leaseTtlMs,
			marginMs: leaseMarginMs,
		});
		options.metrics.createGauge('crocus_waiting_upstreams', 'Upstreams of the domain that wait, such as in a drain', () => this.listWaits().length);
		options.metrics.createGauge('crocus_authority', 'Whether this entry holds its domain\'s authority', () => Number(this.isHolder()));
	}

	/** Begins to try for the lease. */
	start(): void {
		void this.#runLease();
		void this.#runClaims();
	}

	isHolder(): boolean {
		return this.#lease.isHolder() && (this.#tenure?.isActing ?? false);
	}

	/** Lists the domain's upstreams that wait, with what for; empty on an entry without the authority. */
	listWaits(): ReadonlyArray<readonly [id: string, waitsFor: string]> {
		return this.#tenure?.listWaits() ?? [];
	}

	/** Ends the procedures that run, gives up this process's claims and, last of all, the lease. */
	async stop(): Promise<void> {
		this.#abort.abort();
		await this.#tenure?.stop();
		await this.#tryReleaseClaims();
		this.#members.close();
		await this.#lease.release();
	}

	async #runLease(): Promise<void> {
		const {timers, random} = this.#options;
		for (let turn = 0; !this.#abort.signal.aborted; turn++) {
			const isHeld = this.#isTrying(turn) && await this.#lease.tryAcquire();
			if (this.#abort.signal.aborted) {
				return;
			}

			if (isHeld && (this.#tenure?.isOver ?? true)) {
				this.#startTenure();
			}

			await timers.sleep(renewMs * (1 + (random() / 2)), this.#abort.signal);
		}
	}

	#isTrying(turn: number): boolean {
		const {vm, domain} = this.#options;
		const heard = this.#members.list()
			.filter(member => member.state === vmState.live && this.#members.isHeard(member.vm, candidateSilenceMs))
			.map(member => member.vm);
		return this.#lease.isHolder() || isTrying({
			domain, vm, heard, turn,
		});
	}

	#startTenure(): void {
		const {term} = this.#lease;
		const tenure = new Tenure({
			options: this.#options,
			holder: this.#holder,
			claims: this.#claims,
			members: this.#members,
			isLeased: () => this.#lease.isHolder() && this.#lease.term === term,
		});
		this.#tenure = tenure;
		void tenure.run();
	}

	async #runClaims(): Promise<void> {
		while (!this.#abort.signal.aborted) {
			await this.#options.timers.sleep(claimsMs, this.#abort.signal);
			await this.#tryReleaseClaims();
		}
	}

	async #tryReleaseClaims(): Promise<void> {
		if (!this.#claims.hasEnded()) {
			return;
		}

		try {
			await this.#claims.release(this.#options.store, this.#options.domain);
		} catch {
			// The store does not answer: the next round tries again, or an operator vouches for this VM.
		}
	}
}

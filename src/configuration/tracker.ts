import {computeTextHash, parseDeployment} from '../deployment/index.js';
import type {Deployment} from '../deployment/index.js';
import type {Fact, FactTable} from '../feed/index.js';
import {sortByRank} from '../feed/index.js';
import type {History} from '../history/index.js';
import type {Metrics} from '../metrics/index.js';
import {absentRevision, storeKey} from '../store/index.js';
import type {Store} from '../store/index.js';
import type {Timer, TimerService} from '../timers/index.js';
import {decodeRecord} from './record.js';

/** Time that the store holds a watch open when nothing changes, in milliseconds. */
const watchTimeoutMs = 10_000;
const minRetryDelayMs = 500;
const maxRetryDelayMs = 5000;
/** Interval at which the tracker checks whether its startup is finished and whether it watches the store, in milliseconds. */
const checkIntervalMs = 500;
/** Time after which a started entry applies the highest version that it knows, though neither the store nor a majority answered, in milliseconds. */
const startTimeoutMs = 5000;

/** How an entry knows that its version is the latest. */
export const certainty = {
	/** No configuration is in force yet. */
	none: 'none',
	/** The store was read since this entry started. */
	store: 'store',
	/** More than half of the failure domain's entries are live, this one included. */
	peers: 'peers',
	/** A configuration is in force, but it may not be the latest. */
	unknown: 'unknown',
} as const;

/** See {@link certainty}. */
export type Certainty = (typeof certainty)[keyof typeof certainty];

/** What a {@link ConfigurationTracker} needs. */
export type ConfigurationTrackerDependencies = {
	readonly vm: string;
	readonly store: Store;
	readonly facts: FactTable;
	readonly timers: TimerService;
	readonly history: History;
	readonly metrics: Metrics;
	/** Returns a uniform random number in [0, 1); spreads retries of different entries. */
	readonly getRandom: () => number;
	/** Lists the live VMs of this failure domain, this one among them. */
	readonly listLiveVms: () => readonly string[];
	/** Counts all known VMs of this failure domain, live or not. */
	readonly countMembers: () => number;
	/** Mechanisms to leave out; set only by the fault matrix. */
	readonly without?: ReadonlySet<'highest version holds'>;
};

type ConfigurationInForce = {readonly version: number; readonly hash: string; readonly text: string; readonly deployment: Deployment};

/**
Keeps in force, at this entry, the highest version of the configuration that the store or any other entry knows. The version
in force never decreases, and a text that can't be parsed leaves the earlier one in force. One entry of each failure domain
watches the store; the others receive new versions by gossip.
*/
export class ConfigurationTracker {
	#inForce: ConfigurationInForce | undefined;
	#refusalText: string | undefined;
	#hasReadStore = false;
	#isStartupFinished = false;
	#revision = absentRevision;
	#watchAbort: AbortController | undefined;
	#timer: Timer | undefined;
	#startedAt = 0;
	#isStopped = false;
	readonly #dependencies: ConfigurationTrackerDependencies;

	constructor(dependencies: ConfigurationTrackerDependencies) {
		this.#dependencies = dependencies;
		dependencies.facts.subscribe(fact => {
			if (fact.kind === 'configuration' && this.#isStartupFinished) {
				this.#apply(fact as Fact<'configuration'>);
			}
		});
	}

	/** Reads the store, then follows the store or other entries until stopped. */
	start(): void {
		const {timers} = this.#dependencies;
		this.#startedAt = timers.getNow();
		void this.#readStore();
		this.#timer = timers.startInterval(checkIntervalMs, () => {
			this.#finishStartup();
			this.#updateWatch();
		});
	}

	/** Stops following; the configuration in force stays. */
	stop(): void {
		this.#isStopped = true;
		this.#timer?.cancel();
		this.#watchAbort?.abort();
	}

	/** Returns the configuration in force; `undefined` until there is one. */
	getDeployment(): Deployment | undefined {
		return this.#inForce?.deployment;
	}

	/** Returns the version in force; 0 when there is none. */
	getVersion(): number {
		return this.#inForce?.version ?? 0;
	}

	/** Returns the configuration in force, how it is known to be the latest, and why a newer one was refused, if one was. */
	getStatus() {
		const inForce = this.#inForce;
		return {
			version: this.getVersion(),
			hash: inForce?.hash ?? '',
			text: inForce?.text ?? '',
			certainty: this.#decideCertainty(),
			isWatcher: this.#watchAbort !== undefined,
			...(this.#refusalText === undefined ? {} : {refused: this.#refusalText}),
		};
	}

	/** Publishes an accepted configuration as a fact, which puts it into force at this entry and is broadcast to the others. */
	publish(accepted: {readonly version: number; readonly text: string; readonly hash: string}): void {
		this.#dependencies.facts.merge({
			kind: 'configuration', key: '', version: accepted.version, value: {text: accepted.text, hash: accepted.hash},
		});
	}

	#decideCertainty(): Certainty {
		if (this.#hasReadStore) {
			return certainty.store;
		}

		if (this.#hasMajority()) {
			return certainty.peers;
		}

		return this.#inForce ? certainty.unknown : certainty.none;
	}

	#hasMajority(): boolean {
		const {listLiveVms, countMembers} = this.#dependencies;
		return listLiveVms().length > countMembers() / 2 && listLiveVms().length > 1;
	}

	/** Applies nothing after a start until the highest version can be known: the store was read, most entries are live, or the timeout has passed. */
	#finishStartup(): void {
		const mayFinish = this.#hasReadStore || this.#hasMajority() || this.#dependencies.timers.getNow() - this.#startedAt >= startTimeoutMs;
		if (this.#isStartupFinished || !mayFinish) {
			return;
		}

		this.#isStartupFinished = true;
		const fact = this.#dependencies.facts.get('configuration', '');
		if (fact) {
			this.#apply(fact);
		}
	}

	#apply({version, value}: Fact<'configuration'>): void {
		if (version <= this.getVersion() && !this.#dependencies.without?.has('highest version holds')) {
			return;
		}

		try {
			this.#inForce = {version, ...value, deployment: parseDeployment(value.text)};
			this.#refusalText = undefined;
			this.#dependencies.history.record({subject: 'configuration', kind: 'in force', detail: `version ${version}`});
		} catch (error) {
			this.#refusalText = `version ${version} can't be read: ${error instanceof Error ? error.message : String(error)}`;
			this.#dependencies.history.record({subject: 'configuration', kind: 'refused', detail: `${this.#refusalText}; version ${this.getVersion()} stays in force`});
		}
	}

	async #readStore(): Promise<void> {
		for (let retryDelayMs = minRetryDelayMs; !this.#isStopped && !this.#hasReadStore; retryDelayMs = Math.min(maxRetryDelayMs, retryDelayMs * 2)) {
			try {
				this.#onStoredValue(await this.#dependencies.store.read(storeKey.configuration));
			} catch {
				this.#dependencies.metrics.count('storeCalls', 'configuration_failed');
				await this.#dependencies.timers.sleep(retryDelayMs * (0.5 + this.#dependencies.getRandom()));
			}
		}
	}

	#onStoredValue(storedValue: {readonly value: string; readonly revision: number} | undefined): void {
		this.#hasReadStore = true;
		if (storedValue) {
			this.#revision = Math.max(this.#revision, storedValue.revision);
			const record = decodeRecord(storedValue.value);
			if (record) {
				// Computes the hash anew, as a value written by hand may lack it.
				this.publish({...record, hash: computeTextHash(record.text)});
			} else {
				this.#refusalText = 'the store\'s value is not a configuration';
				this.#dependencies.history.record({subject: 'configuration', kind: 'refused', detail: this.#refusalText});
			}
		}

		this.#finishStartup();
	}

	#updateWatch(): void {
		const [watcher] = sortByRank('configuration', this.#dependencies.listLiveVms());
		const isWatcher = watcher === undefined || watcher === this.#dependencies.vm;
		if (isWatcher && !this.#watchAbort) {
			this.#watchAbort = new AbortController();
			void this.#watchStore(this.#watchAbort.signal);
		} else if (!isWatcher && this.#watchAbort) {
			this.#watchAbort.abort();
			this.#watchAbort = undefined;
		}
	}

	async #watchStore(signal: AbortSignal): Promise<void> {
		let retryDelayMs = minRetryDelayMs;
		while (!signal.aborted) {
			try {
				const storedValue = await this.#dependencies.store.watch(storeKey.configuration, this.#revision, watchTimeoutMs, signal);
				retryDelayMs = minRetryDelayMs;
				if (storedValue) {
					this.#onStoredValue(storedValue);
				}
			} catch {
				this.#dependencies.metrics.count('storeCalls', 'configuration_failed');
				await this.#dependencies.timers.sleep(retryDelayMs * (0.5 + this.#dependencies.getRandom()), signal);
				retryDelayMs = Math.min(maxRetryDelayMs, retryDelayMs * 2);
			}
		}
	}
}

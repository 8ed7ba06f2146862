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

const watchTimeoutMs = 10_000;
const minRetryDelayMs = 500;
const maxRetryDelayMs = 5000;
const checkIntervalMs = 500;
/** How long a new entry waits for its peers or the store before it takes what it has, in milliseconds. */
const startTimeoutMs = 5000;

/** By what an entry knows that its version is the latest. */
export const certainty = {
	/** Nothing known yet. */
	none: 'none',
	/** The store was read since the start. */
	store: 'store',
	/** More than half of the failure domain's entries were heard from since the start. */
	peers: 'peers',
	/** In force, but it can't be told whether it is the latest. */
	unknown: 'unknown',
} as const;

/** See {@link certainty}. */
export type Certainty = (typeof certainty)[keyof typeof certainty];

/** What a keeper is made from. */
export type ConfigurationTrackerDependencies = {
	readonly vm: string;
	readonly store: Store;
	readonly facts: FactTable;
	readonly timers: TimerService;
	readonly history: History;
	readonly metrics: Metrics;
	/** Draws a number from 0 up to 1. */
	readonly getRandom: () => number;
	/** VMs of this failure domain that are live, this one among them, and how many there should be. */
	readonly listLiveVms: () => readonly string[];
	readonly countMembers: () => number;
	/** Mechanisms that the fault matrix takes out. */
	readonly without?: ReadonlySet<'highest version holds'>;
};

type ConfigurationInForce = {readonly version: number; readonly hash: string; readonly text: string; readonly deployment: Deployment};

/**
Keeps the configuration in force at one entry: the highest version that the store or any peer knows. A version never
goes down, and a text that can't be read leaves the earlier one in force. One entry of a failure domain watches the store.
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

	/** Reads the store and follows it or the peers until stopped. */
	start(): void {
		const {timers} = this.#dependencies;
		this.#startedAt = timers.getNow();
		void this.#readStore();
		this.#timer = timers.startInterval(checkIntervalMs, () => {
			this.#finishStartup();
			this.#updateWatch();
		});
	}

	/** Ends following. */
	stop(): void {
		this.#isStopped = true;
		this.#timer?.cancel();
		this.#watchAbort?.abort();
	}

	/** The configuration in force; `undefined` until there is one. */
	getDeployment(): Deployment | undefined {
		return this.#inForce?.deployment;
	}

	/** Version in force, 0 when none is. */
	getVersion(): number {
		return this.#inForce?.version ?? 0;
	}

	/** Tells what is in force and by what it is known to be the latest. */
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

	/** Takes in a configuration that was accepted; it is spread by the feed. */
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

	/** An entry that has just started takes nothing before it can have heard of the highest version. */
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
				// A hand-written value may lack the hash; it is the text's own.
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

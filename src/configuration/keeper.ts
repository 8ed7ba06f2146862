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

const watchWaitMs = 10_000;
const firstPauseMs = 500;
const longestPauseMs = 5000;
const checkPeriodMs = 500;
/** How long a new entry waits for its peers or the store before it takes what it has, in milliseconds. */
const startBoundMs = 5000;

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
export type KeeperOptions = {
	readonly vm: string;
	readonly store: Store;
	readonly facts: FactTable;
	readonly timers: TimerService;
	readonly history: History;
	readonly metrics: Metrics;
	/** Draws a number from 0 up to 1. */
	readonly pick: () => number;
	/** VMs of this failure domain that are live, this one among them, and how many there should be. */
	readonly listLive: () => readonly string[];
	readonly countExpected: () => number;
	/** Mechanisms that the fault matrix takes out. */
	readonly without?: ReadonlySet<'highest version holds'>;
};

type InForce = {readonly version: number; readonly hash: string; readonly text: string; readonly deployment: Deployment};

/**
Keeps the configuration in force at one entry: the highest version that the store or any peer knows. A version never
goes down, and a text that can't be read leaves the earlier one in force. One entry of a failure domain watches the store.
*/
export class ConfigurationKeeper {
	#inForce: InForce | undefined;
	#refused: string | undefined;
	#isStoreRead = false;
	#isSettled = false;
	#revision = absentRevision;
	#watch: AbortController | undefined;
	#timer: Timer | undefined;
	#startedAt = 0;
	#isStopped = false;
	readonly #options: KeeperOptions;

	constructor(options: KeeperOptions) {
		this.#options = options;
		options.facts.subscribe(fact => {
			if (fact.kind === 'configuration' && this.#isSettled) {
				this.#apply(fact as Fact<'configuration'>);
			}
		});
	}

	/** Reads the store and follows it or the peers until stopped. */
	start(): void {
		const {timers} = this.#options;
		this.#startedAt = timers.getNow();
		void this.#readOnce();
		this.#timer = timers.startInterval(checkPeriodMs, () => {
			this.#settle();
			this.#checkWatch();
		});
	}

	/** Ends following. */
	stop(): void {
		this.#isStopped = true;
		this.#timer?.cancel();
		this.#watch?.abort();
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
			isWatcher: this.#watch !== undefined,
			...(this.#refused === undefined ? {} : {refused: this.#refused}),
		};
	}

	/** Takes in a configuration that was accepted; it is spread by the feed. */
	publish(accepted: {readonly version: number; readonly text: string; readonly hash: string}): void {
		this.#options.facts.merge({
			kind: 'configuration', key: '', version: accepted.version, value: {text: accepted.text, hash: accepted.hash},
		});
	}

	#decideCertainty(): Certainty {
		if (this.#isStoreRead) {
			return certainty.store;
		}

		if (this.#hasEnoughPeers()) {
			return certainty.peers;
		}

		return this.#inForce ? certainty.unknown : certainty.none;
	}

	#hasEnoughPeers(): boolean {
		const {listLive, countExpected} = this.#options;
		return listLive().length > countExpected() / 2 && listLive().length > 1;
	}

	/** An entry that has just started takes nothing before it can have heard of the highest version. */
	#settle(): void {
		const isDue = this.#isStoreRead || this.#hasEnoughPeers() || this.#options.timers.getNow() - this.#startedAt >= startBoundMs;
		if (this.#isSettled || !isDue) {
			return;
		}

		this.#isSettled = true;
		const fact = this.#options.facts.get('configuration', '');
		if (fact) {
			this.#apply(fact);
		}
	}

	#apply({version, value}: Fact<'configuration'>): void {
		if (version <= this.getVersion() && !this.#options.without?.has('highest version holds')) {
			return;
		}

		try {
			this.#inForce = {version, ...value, deployment: parseDeployment(value.text)};
			this.#refused = undefined;
			this.#options.history.record({subject: 'configuration', kind: 'in force', detail: `version ${version}`});
		} catch (error) {
			this.#refused = `version ${version} can't be read: ${error instanceof Error ? error.message : String(error)}`;
			this.#options.history.record({subject: 'configuration', kind: 'refused', detail: `${this.#refused}; version ${this.getVersion()} stays in force`});
		}
	}

	async #readOnce(): Promise<void> {
		for (let pauseMs = firstPauseMs; !this.#isStopped && !this.#isStoreRead; pauseMs = Math.min(longestPauseMs, pauseMs * 2)) {
			try {
				this.#onRead(await this.#options.store.read(storeKey.configuration));
			} catch {
				this.#options.metrics.count('storeCalls', 'configuration_failed');
				await this.#options.timers.sleep(pauseMs * (0.5 + this.#options.pick()));
			}
		}
	}

	#onRead(found: {readonly value: string; readonly revision: number} | undefined): void {
		this.#isStoreRead = true;
		if (found) {
			this.#revision = Math.max(this.#revision, found.revision);
			const record = decodeRecord(found.value);
			if (record) {
				// A hand-written value may lack the hash; it is the text's own.
				this.publish({...record, hash: computeTextHash(record.text)});
			} else {
				this.#refused = 'the store\'s value is not a configuration';
				this.#options.history.record({subject: 'configuration', kind: 'refused', detail: this.#refused});
			}
		}

		this.#settle();
	}

	#checkWatch(): void {
		const [watcher] = sortByRank('configuration', this.#options.listLive());
		const isWatcher = watcher === undefined || watcher === this.#options.vm;
		if (isWatcher && !this.#watch) {
			this.#watch = new AbortController();
			void this.#watchStore(this.#watch.signal);
		} else if (!isWatcher && this.#watch) {
			this.#watch.abort();
			this.#watch = undefined;
		}
	}

	async #watchStore(signal: AbortSignal): Promise<void> {
		let pauseMs = firstPauseMs;
		while (!signal.aborted) {
			try {
				const found = await this.#options.store.watch(storeKey.configuration, this.#revision, watchWaitMs, signal);
				pauseMs = firstPauseMs;
				if (found) {
					this.#onRead(found);
				}
			} catch {
				this.#options.metrics.count('storeCalls', 'configuration_failed');
				await this.#options.timers.sleep(pauseMs * (0.5 + this.#options.pick()), signal);
				pauseMs = Math.min(longestPauseMs, pauseMs * 2);
			}
		}
	}
}

import type {DomainRecord} from '../../src/authority/index.js';
import {Store, storeKey} from '../../src/store/index.js';
import type {LeaseGrant, VersionedValue} from '../../src/store/index.js';
import type {TimerService} from '../../src/timers/index.js';
import {ManualTimers} from '../../src/timers/index.js';
import {domainName} from '../fakes/domain.js';
import type {FakeDomainOptions} from '../fakes/domain.js';

/** What keeps the authority's promises; each can be taken out at its interface, to see cells fail. */
export const mechanism = {
	/** Engines refuse old fencing numbers. */
	fence: 'fence',
	/** Names of senders stand in the record of an unfenced engine. */
	senders: 'senders',
	/** Entries acknowledge a closing truthfully. */
	barrier: 'barrier',
	/** An engine that was ordered to drain refuses new work. */
	drainOrder: 'drain order',
	/** An intention is in the store before its order is sent. */
	intentionFirst: 'intention first',
	/** The holder counts its lease by its clocks. */
	leaseClock: 'lease clock',
} as const;

/** See {@link mechanism}. */
export type Mechanism = (typeof mechanism)[keyof typeof mechanism];

type Options = Pick<FakeDomainOptions, 'hasFence' | 'hasDrain' | 'hasBarrier' | 'wrapStore' | 'createLeaseTimers'>;

/** Sets a domain up without one mechanism. */
export function createOptionsWithout(without: string | undefined): Options {
	return without === undefined ? {} : ((optionsWithout as Readonly<Record<string, Options>>)[without] ?? {});
}

const optionsWithout: Readonly<Record<Mechanism, Options>> = {
	[mechanism.fence]: {hasFence: false},
	[mechanism.senders]: {wrapStore: store => new SenderlessStore(store)},
	[mechanism.barrier]: {hasBarrier: false},
	[mechanism.drainOrder]: {hasDrain: false},
	[mechanism.intentionFirst]: {wrapStore: (store, timers) => new LateIntentionStore(store, timers)},
	[mechanism.leaseClock]: {createLeaseTimers: () => new ManualTimers()},
};

const lateMs = 20;

abstract class PassingStore extends Store {
	constructor(protected readonly store: Store) {
		super();
	}

	async read(key: string): Promise<VersionedValue | undefined> {
		return this.store.read(key);
	}

	async write(key: string, value: string, expectedRevision: number): Promise<number> {
		return this.store.write(key, value, expectedRevision);
	}

	async watch(key: string, afterRevision: number, waitMs: number, signal?: AbortSignal): Promise<VersionedValue | undefined> {
		return this.store.watch(key, afterRevision, waitMs, signal);
	}

	async acquire(name: string, holder: string, ttlMs: number): Promise<LeaseGrant> {
		return this.store.acquire(name, holder, ttlMs);
	}

	async release(name: string, holder: string): Promise<void> {
		await this.store.release(name, holder);
	}
}

/** Loses the names of senders. */
class SenderlessStore extends PassingStore {
	override async read(key: string): Promise<VersionedValue | undefined> {
		const found = await super.read(key);
		return found && {...found, value: removeAllSenders(key, found.value)};
	}

	override async write(key: string, value: string, expectedRevision: number): Promise<number> {
		return super.write(key, removeAllSenders(key, value), expectedRevision);
	}
}

/** Says that an intention is written and writes it a moment later. */
class LateIntentionStore extends PassingStore {
	#foreseen: Promise<void> = Promise.resolve();

	constructor(store: Store, private readonly timers: TimerService) {
		super(store);
	}

	override async read(key: string): Promise<VersionedValue | undefined> {
		await this.#foreseen;
		return super.read(key);
	}

	override async write(key: string, value: string, expectedRevision: number): Promise<number> {
		if (key !== storeKey.orders(domainName) || !value.includes('"intended"')) {
			await this.#foreseen;
			return super.write(key, value, expectedRevision);
		}

		this.#foreseen = this.#writeLate(key, value, expectedRevision);
		return expectedRevision + 1;
	}

	async #writeLate(key: string, value: string, expectedRevision: number): Promise<void> {
		await this.timers.sleep(lateMs);
		try {
			await super.write(key, value, expectedRevision);
		} catch {
			// The caller was told that it is written; that is what this store is for.
		}
	}
}

function removeAllSenders(key: string, value: string): string {
	if (key !== storeKey.orders(domainName)) {
		return value;
	}

	const record = JSON.parse(value) as DomainRecord;
	const upstreams = Object.entries(record.upstreams).map(([id, known]) => [id, {...known, senders: []}]);
	return JSON.stringify({...record, upstreams: Object.fromEntries(upstreams) as DomainRecord['upstreams']});
}

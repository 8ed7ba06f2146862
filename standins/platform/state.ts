import type {TimerService} from '../../src/timers/index.js';
import {Journal} from '../journal.js';

/** A value with the revision of its last write. */
export type StoredValue = {readonly value: string; readonly revision: number};

/** Row of the journal: a write that took effect. */
export type WriteRow = {
	/** Time, monotonic, in milliseconds. */
	readonly at: number;
	readonly kind: 'write' | 'acquire' | 'release';
	readonly key: string;
	/** Revision of the key after a write; 0 for a lease. */
	readonly revision: number;
	/** Holder of a lease; empty for a write. */
	readonly holder: string;
	/** First characters of the value that was written; empty for a lease. */
	readonly value: string;
};

type Lease = {readonly holder: string; readonly expiresAt: number};
type Listener = (storedValue: StoredValue) => void;

/** Characters of a written value that the journal keeps. */
const maxJournalValueLength = 2000;

/** Contents of the platform's key-value service, its leases and its list of VMs, without any network. */
export class PlatformState {
	readonly journal = new Journal<WriteRow>();
	/** Time until a change to the list of VMs is visible to readers, in milliseconds. */
	vmLagMs = 0;
	readonly #values = new Map<string, StoredValue>();
	readonly #leases = new Map<string, Lease>();
	readonly #listeners = new Map<string, Set<Listener>>();
	#revision = 0;
	#vms: readonly unknown[] = [];

	constructor(private readonly timers: TimerService) {}

	/** Finds the value of a key. */
	findValue(key: string): StoredValue | undefined {
		return this.#values.get(key);
	}

	/** Compare-and-swap: writes when the key has `expectedRevision`, 0 for an absent key. Returns the key's revision after the call. */
	write(key: string, value: string, expectedRevision: number): {readonly isWritten: boolean; readonly revision: number} {
		const currentRevision = this.#values.get(key)?.revision ?? 0;
		if (currentRevision !== expectedRevision) {
			return {isWritten: false, revision: currentRevision};
		}

		this.#revision++;
		const storedValue = {value, revision: this.#revision};
		this.#values.set(key, storedValue);
		this.#record('write', key, {revision: storedValue.revision, value: value.slice(0, maxJournalValueLength)});
		for (const listener of this.#listeners.get(key) ?? []) {
			listener(storedValue);
		}

		return {isWritten: true, revision: storedValue.revision};
	}

	/** Calls `listener` with each value written to a key; the returned function ends the subscription. */
	subscribe(key: string, listener: Listener): () => void {
		const listeners = this.#listeners.get(key) ?? new Set();
		this.#listeners.set(key, listeners);
		listeners.add(listener);
		return () => {
			listeners.delete(listener);
			if (listeners.size === 0) {
				this.#listeners.delete(key);
			}
		};
	}

	/** Acquires or renews a lease unless another holder has it, and returns the holder after the call. */
	acquire(name: string, holder: string, ttlMs: number): string {
		const now = this.timers.getNow();
		const lease = this.#leases.get(name);
		if (lease && lease.holder !== holder && lease.expiresAt > now) {
			return lease.holder;
		}

		this.#leases.set(name, {holder, expiresAt: now + ttlMs});
		this.#record('acquire', name, {holder});
		return holder;
	}

	/** Releases a lease; does nothing when another holder has it. */
	release(name: string, holder: string): void {
		if (this.#leases.get(name)?.holder === holder) {
			this.#leases.delete(name);
			this.#record('release', name, {holder});
		}
	}

	/** Returns the list of VMs that is visible to readers now. */
	getVms(): readonly unknown[] {
		return this.#vms;
	}

	/** Sets the list of VMs; readers see it after `vmLagMs`. */
	setVms(vms: readonly unknown[]): void {
		if (this.vmLagMs === 0) {
			this.#vms = vms;
			return;
		}

		this.timers.startTimer(this.vmLagMs, () => {
			this.#vms = vms;
		});
	}

	#record(kind: WriteRow['kind'], key: string, details: Partial<WriteRow>): void {
		this.journal.add({
			at: this.timers.getNow(), kind, key, revision: 0, holder: '', value: '', ...details,
		});
	}
}

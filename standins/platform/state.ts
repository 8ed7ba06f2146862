import type {TimerService} from '../../src/timers/index.js';
import {Journal} from '../journal.js';

/** A value with the revision of its last write. */
export type StoredValue = {readonly value: string; readonly revision: number};

/** A write that took effect. */
export type WriteRow = {
	readonly at: number;
	readonly kind: 'write' | 'acquire' | 'release';
	readonly key: string;
	/** Revision after a write; 0 for a lease. */
	readonly revision: number;
	/** Holder of a lease; empty for a write. */
	readonly holder: string;
	/** Start of the value that was written. */
	readonly value: string;
};

type Lease = {readonly holder: string; readonly expiresAt: number};
type Listener = (entry: StoredValue) => void;

const maxJournalValueLength = 2000;

/** Contents of the platform's key-value service and its list of VMs, without network. */
export class PlatformState {
	readonly journal = new Journal<WriteRow>();
	/** Time after which a change of the list of VMs can be read, in milliseconds. */
	vmLagMs = 0;
	readonly #values = new Map<string, StoredValue>();
	readonly #leases = new Map<string, Lease>();
	readonly #listeners = new Map<string, Set<Listener>>();
	#revision = 0;
	#vms: readonly unknown[] = [];

	constructor(private readonly timers: TimerService) {}

	/** Reads a key. */
	findValue(key: string): StoredValue | undefined {
		return this.#values.get(key);
	}

	/** Writes when the key has `expectedRevision`, 0 for a key that does not exist; returns the key's revision after. */
	write(key: string, value: string, expectedRevision: number): {readonly isWritten: boolean; readonly revision: number} {
		const currentRevision = this.#values.get(key)?.revision ?? 0;
		if (currentRevision !== expectedRevision) {
			return {isWritten: false, revision: currentRevision};
		}

		this.#revision++;
		const entry = {value, revision: this.#revision};
		this.#values.set(key, entry);
		this.#record('write', key, {revision: entry.revision, value: value.slice(0, maxJournalValueLength)});
		for (const listener of this.#listeners.get(key) ?? []) {
			listener(entry);
		}

		return {isWritten: true, revision: entry.revision};
	}

	/** Calls `listener` with each write to a key; the result ends that. */
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

	/** Takes or renews a lease, and returns its holder after that. */
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

	/** Gives up a lease; does nothing when another has it. */
	release(name: string, holder: string): void {
		if (this.#leases.get(name)?.holder === holder) {
			this.#leases.delete(name);
			this.#record('release', name, {holder});
		}
	}

	/** Returns the list of VMs as it can be read by now. */
	getVms(): readonly unknown[] {
		return this.#vms;
	}

	/** Sets the list of VMs; readers see it after the lag. */
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

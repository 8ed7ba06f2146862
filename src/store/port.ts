/** A value of the store with its revision, which rises with every write to the store. */
export type VersionedValue = {
	readonly value: string;
	readonly revision: number;
};

/** A granted lease. */
export type LeaseGrant = {
	readonly name: string;
	readonly holder: string;
	/** Counted from when the store granted it, in milliseconds. */
	readonly ttlMs: number;
};

/** Revision that a key has when it does not exist. */
export const absentRevision = 0;

/**
The platform's key-value service. Every call may throw `StoreUnavailableError` (it had no effect);
a write may throw `StoreUncertainError` (nobody knows) as well.
*/
export abstract class Store {
	/** Reads a key; `undefined` when it does not exist. */
	abstract read(key: string): Promise<VersionedValue | undefined>;

	/**
	Writes `value` when the key has `expectedRevision`, and returns the new revision.
	Throws `StoreConflictError` when the key has another revision.
	*/
	abstract write(key: string, value: string, expectedRevision: number): Promise<number>;

	/** Waits up to `waitMs` for a revision above `afterRevision`; `undefined` when none came. */
	abstract watch(key: string, afterRevision: number, waitMs: number, signal?: AbortSignal): Promise<VersionedValue | undefined>;

	/** Takes or renews a lease. Throws `LeaseHeldError` when another holder has it. */
	abstract acquire(name: string, holder: string, ttlMs: number): Promise<LeaseGrant>;

	/** Gives up a lease; does nothing when `holder` does not have it. */
	abstract release(name: string, holder: string): Promise<void>;
}

/** What the platform says of a VM; the list lags behind reality. */
export const vmState = {live: 'live', leaving: 'leaving'} as const;

/** See {@link vmState}. */
export type VmState = (typeof vmState)[keyof typeof vmState];

/** One VM of the platform's list. */
export type VmRecord = {
	readonly vm: string;
	readonly domain: string;
	/** `host:port` of the callers' HTTP side. */
	readonly http: string;
	/** `host:port` of the side for peers. */
	readonly peer: string;
	readonly state: VmState;
};

/** The platform's list of VMs, which lags. */
export abstract class VmList {
	/** Reads the list; throws `StoreUnavailableError`. */
	abstract readVms(): Promise<readonly VmRecord[]>;
}

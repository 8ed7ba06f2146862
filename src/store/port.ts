/** A value with the revision of its last write; revisions rise with every write to the store. */
export type VersionedValue = {
	readonly value: string;
	readonly revision: number;
};

/** A granted lease. */
export type LeaseGrant = {
	readonly name: string;
	readonly holder: string;
	/** Time to live, in milliseconds from when the store granted or renewed the lease. */
	readonly ttlMs: number;
};

/** Revision of a key that does not exist. */
export const absentRevision = 0;

/**
Port for the platform's key-value service. Every call may throw `StoreUnavailableError`: the call had no effect. Calls that
change something may also throw `StoreUncertainError`: the call may or may not have taken effect.
*/
export abstract class Store {
	/** Reads the value of a key; `undefined` when the key does not exist. */
	abstract read(key: string): Promise<VersionedValue | undefined>;

	/**
	Writes `value` if the key has `expectedRevision` (compare-and-swap) and returns the new revision.
	Throws `StoreConflictError` when the key has another revision.
	*/
	abstract write(key: string, value: string, expectedRevision: number): Promise<number>;

	/** Waits up to `waitMs` milliseconds for the key to get a revision above `afterRevision`; `undefined` when it got none. */
	abstract watch(key: string, afterRevision: number, waitMs: number, signal?: AbortSignal): Promise<VersionedValue | undefined>;

	/** Acquires a lease for `holder`, or renews it. Throws `LeaseHeldError` when another holder has it. */
	abstract acquire(name: string, holder: string, ttlMs: number): Promise<LeaseGrant>;

	/** Releases a lease; does nothing when `holder` does not have it. */
	abstract release(name: string, holder: string): Promise<void>;
}

/** State of a VM according to the platform. */
export const vmState = {live: 'live', leaving: 'leaving'} as const;

/** See {@link vmState}. */
export type VmState = (typeof vmState)[keyof typeof vmState];

/** A VM in the platform's list. */
export type VmRecord = {
	readonly vm: string;
	readonly domain: string;
	/** `host:port` for callers' HTTP requests. */
	readonly http: string;
	/** `host:port` for connections from other entries. */
	readonly peer: string;
	readonly state: VmState;
};

/** Port for the platform's list of VMs. The list lags behind reality. */
export abstract class VmList {
	/** Reads the list. Throws `StoreUnavailableError`. */
	abstract readVms(): Promise<readonly VmRecord[]>;
}

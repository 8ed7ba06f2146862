/** Result of a call to the platform that only the holder of a duty may make. */
export const dutyOutcome = {
	accepted: 'accepted',
	/** What was ordered can't be had now (wire: 409). */
	unavailable: 'unavailable',
	/** The platform did nothing: too many calls, or it is down. */
	refused: 'refused',
	/** No answer in time: the call may have taken effect. */
	uncertain: 'uncertain',
} as const;

/** See {@link dutyOutcome}. */
export type DutyOutcome = (typeof dutyOutcome)[keyof typeof dutyOutcome];

/** Proves to the platform which term of a duty a call belongs to. */
export type DutyFence = {
	/** Name of the VM that holds the duty. */
	readonly holder: string;
	/** Fencing token; rises with each change of the holder. */
	readonly number: number;
	/** Whether the lease still lasts for longer than a call. Checked again just before a call's bytes are sent, as this process may have been held up or suspended since the call began. */
	readonly isSafe: () => boolean;
};

/** A duty that one entry at a time holds. */
export abstract class Duty {
	/** Name of the duty, as in its key in the store. */
	abstract readonly name: string;
	/** Whether this entry holds it and may make calls now: its lease is safe and its predecessor's time has passed. */
	abstract readonly isHeld: boolean;
	/** Fencing token of the term held; `undefined` while it is not held. */
	abstract readonly number: number | undefined;

	/** Makes a call of the holder, which ends within its time-out; returns `undefined` without calling when the lease does not hold for that long. Never throws for a call that failed. */
	abstract tryCall(send: (fence: DutyFence) => Promise<DutyOutcome>): Promise<DutyOutcome | undefined>;

	/** Gives the duty up if another entry is preferred, and leaves it the time to acquire it. Has no effect while this entry is preferred or has no term. Never throws. */
	abstract releaseToPreferred(): Promise<void>;

	/** Calls `listener` when `isHeld` has changed. Returns a function that ends this. */
	abstract subscribe(listener: () => void): () => void;
}

/** The number of engines of a kind that a service has in a failure domain, as the holder orders it. */
export type EngineOrder = {
	readonly service: string;
	readonly domain: string;
	/** Whether the engines cost less and may be reclaimed. */
	readonly isSpot: boolean;
	readonly desired: number;
};

/** The platform's calls that only the holder of a duty makes. Each ends within its time-out and never throws. */
export abstract class DutyPlatform {
	/** Reports the requests of each customer that engines began in a window. */
	abstract reportUsage(window: number, counts: ReadonlyMap<string, number>, fence: DutyFence): Promise<DutyOutcome>;

	abstract orderEngines(order: EngineOrder, fence: DutyFence): Promise<DutyOutcome>;
}

/** A value of the store; revision 0 and no value for a key that does not exist. */
export type StoredValue = {
	readonly value: string | undefined;
	readonly revision: number;
	/** Era of the store; `undefined` when it reports none. */
	readonly era: number | undefined;
};

/** A lease of the store; keys that are written under it are removed when it ends. */
export type DutyLease = {
	readonly id: number;
	readonly era: number | undefined;
};

/** A write of a transaction; without a lease it stays. */
export type StoreWrite = {readonly key: string; readonly value: string; readonly lease?: DutyLease};

/** What duties keep in the platform's store. Calls may throw `StoreUnavailableError`, and those that write `StoreUncertainError`. */
export abstract class DutyStore {
	abstract acquireLease(ttlMs: number): Promise<DutyLease>;

	/** Renews a lease; returns `false` when it has ended or belongs to an earlier era. */
	abstract renewLease(lease: DutyLease): Promise<boolean>;

	/**
	Writes and removes all keys if the last change of each expected one is the given revision (0: it does not exist), whatever happened in an earlier era.
	Returns the new revision, `undefined` on a conflict, when a lease has ended, or when it took place in another era than that of a lease.
	*/
	abstract tryTransact(expected: ReadonlyMap<string, number>, writes: readonly StoreWrite[], removedKeys?: readonly string[]): Promise<number | undefined>;

	abstract read(key: string): Promise<StoredValue>;
}

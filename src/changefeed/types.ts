/** The value of one key of the store after a change, or its removal. */
export type StoreChange = {
	readonly key: string;
	/** `undefined` when the key was removed or does not exist. */
	readonly value: string | undefined;
	/** Revision of the change; 0 for a key that does not exist. */
	readonly revision: number;
};

/** A revision of the store and the era that it belongs to. Revisions of different eras must not be compared: a store that comes back from an older copy gives them out again. */
export type StorePosition = {
	readonly revision: number;
	/** `undefined` when the store reports no eras. */
	readonly era: number | undefined;
};

/** All changes of the store after one position, up to another of the same era. */
export type ChangeBatch = {
	readonly from: StorePosition;
	readonly to: StorePosition;
	readonly changes: readonly StoreChange[];
};

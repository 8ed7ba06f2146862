/** Prefix of the keys of duties in the store. */
const prefix = 'duties/';

/** Keys of a duty in the store. */
export const dutyKey = {
	prefix,
	/** Names the holder; written under its lease. */
	formatHolderKey: (duty: string) => `${prefix}${duty}`,
	/** Highest fencing token that was given out; stays when the holder's lease ends. */
	formatNumberKey: (duty: string) => `${prefix}${duty}/number`,
} as const;

/** Who holds a duty, as the store has it. */
export type DutyRecord = {
	/** Name of the VM. */
	readonly holder: string;
	/** Fencing token of the term. */
	readonly number: number;
	/** Start of the holder's process, on the wall clock in milliseconds: a process that starts again on the VM does not hold what the one before it held. */
	readonly incarnation: number;
};

/** Formats a record as the store keeps it. */
export function formatHolder(record: DutyRecord): string {
	return JSON.stringify(record);
}

/** Parses a record; `undefined` when it is malformed. */
export function parseHolder(text: string): DutyRecord | undefined {
	try {
		const fields = JSON.parse(text) as Partial<Record<keyof DutyRecord, unknown>> | undefined;
		const {holder, number, incarnation} = fields ?? {};
		return typeof holder === 'string' && Number.isSafeInteger(number) && Number.isSafeInteger(incarnation)
			? {holder, number: number as number, incarnation: incarnation as number}
			: undefined;
	} catch {
		return undefined;
	}
}

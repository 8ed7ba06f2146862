import {z} from 'zod';

/** How many accepted operations the record remembers, so that an operator who asks again is told so. */
const maxRecentOperations = 64;

const recordSchema = z.object({
	version: z.int().nonnegative(),
	text: z.string(),
	hash: z.string(),
	operation: z.string().default(''),
	recent: z.array(z.object({operation: z.string(), version: z.int(), hash: z.string()})).default([]),
});

/** The accepted configuration as the store holds it. */
export type ConfigurationRecord = z.infer<typeof recordSchema>;

/** An operation that was accepted. */
export type AcceptedOperation = ConfigurationRecord['recent'][number];

/** Reads the store's value; `undefined` when it is not a configuration. */
export function decodeRecord(value: string): ConfigurationRecord | undefined {
	try {
		return recordSchema.parse(JSON.parse(value));
	} catch {
		return undefined;
	}
}

/** Makes the record that follows `known`. */
export function createRecord(previous: ConfigurationRecord | undefined, next: Omit<ConfigurationRecord, 'recent'>): ConfigurationRecord {
	const {operation, version, hash} = next;
	return {...next, recent: [...previous?.recent ?? [], {operation, version, hash}].slice(-maxRecentOperations)};
}

/** Finds an operation among those that were accepted. */
export function findAcceptedOperation(record: ConfigurationRecord | undefined, operation: string): AcceptedOperation | undefined {
	return record?.recent.find(accepted => accepted.operation === operation);
}

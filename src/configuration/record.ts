import {z} from 'zod';

/** Number of accepted operations that the record keeps, to recognize a repeated request of an operator. */
const maxRecentOperations = 64;

const recordSchema = z.object({
	version: z.int().nonnegative(),
	text: z.string(),
	hash: z.string(),
	operation: z.string().default(''),
	recent: z.array(z.object({operation: z.string(), version: z.int(), hash: z.string()})).default([]),
});

/** The accepted configuration as stored. */
export type ConfigurationRecord = z.infer<typeof recordSchema>;

/** An operation that was accepted. */
export type AcceptedOperation = ConfigurationRecord['recent'][number];

/** Decodes a stored value; returns `undefined` when it is not a configuration record. */
export function decodeRecord(value: string): ConfigurationRecord | undefined {
	try {
		return recordSchema.parse(JSON.parse(value));
	} catch {
		return undefined;
	}
}

/** Creates the record that replaces `previous`. */
export function createRecord(previous: ConfigurationRecord | undefined, next: Omit<ConfigurationRecord, 'recent'>): ConfigurationRecord {
	const {operation, version, hash} = next;
	return {...next, recent: [...previous?.recent ?? [], {operation, version, hash}].slice(-maxRecentOperations)};
}

/** Finds an operation by its id among the recently accepted ones. */
export function findAcceptedOperation(record: ConfigurationRecord | undefined, operation: string): AcceptedOperation | undefined {
	return record?.recent.find(accepted => accepted.operation === operation);
}

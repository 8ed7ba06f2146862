import {readFileSync} from 'node:fs';
import {z} from 'zod';
import {
	addressSchema as address, createInvalidTextError, parseToml, ProblemList,
} from '../deployment/index.js';

/** Keys of an entry's settings. */
export const entrySchema = z.strictObject({
	vm: z.string().min(1),
	domain: z.string().min(1),
	/** Where callers, operators and the balancer come in. */
	http: address,
	/** Where other entries come in. */
	peer: address,
	/** The platform's service, such as `http://127.0.0.1:7000`. */
	platform: z.url(),
	/** Where to find others while the platform's list can't be read. */
	seeds: z.array(address).max(64).default([]),
	/** Key that all entries share; it signs the ids with which a stream is resumed. */
	secret: z.string().min(16),
	/** At a stop: time for the balancer to see that the entry is not ready, in milliseconds. */
	balancerWaitMs: z.int().min(0).max(600_000).default(5000),
});

/** Settings of an entry's process. */
export type EntrySettings = z.infer<typeof entrySchema>;

/** Reads and checks the settings file of an entry. Throws `InvalidTextError` with every fault and its line. */
export function loadEntrySettings(file: string): EntrySettings {
	return parseEntrySettings(readFileSync(file, 'utf8'), file);
}

/** Checks the text of an entry's settings. Throws `InvalidTextError`. */
export function parseEntrySettings(text: string, file = 'entry.toml'): EntrySettings {
	const raw = parseToml(text, file);
	const result = entrySchema.safeParse(raw);
	if (result.success) {
		return result.data;
	}

	const problemList = new ProblemList(text, raw, Object.keys(entrySchema.shape));
	problemList.addSchemaIssues(result.error.issues);
	throw createInvalidTextError(problemList.problems, file);
}

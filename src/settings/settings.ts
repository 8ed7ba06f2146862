import {readFileSync} from 'node:fs';
import {z} from 'zod';
import {
	addressSchema as address, createInvalidTextError, parseToml, ProblemList,
} from '../deployment/index.js';

/** Schema of an entry's settings. */
export const entrySchema = z.strictObject({
	vm: z.string().min(1),
	domain: z.string().min(1),
	/** Listening address for callers, operators and the load balancer. */
	http: address,
	/** Listening address for connections from other entries. */
	peer: address,
	/** URL of the platform's service, such as `http://127.0.0.1:7000`. */
	platform: z.url(),
	/** Peer addresses of other entries, used while the platform's list of VMs can't be read. */
	seeds: z.array(address).max(64).default([]),
	/** Key shared by all entries; signs the ids with which callers resume a stream. */
	secret: z.string().min(16),
	/** Time at shutdown for the load balancer to notice that the entry is no longer ready, in milliseconds. */
	balancerWaitMs: z.int().min(0).max(600_000).default(5000),
});

export type EntrySettings = z.infer<typeof entrySchema>;

/** Reads and validates an entry's settings file. Throws `InvalidTextError` with every problem and its line. */
export function loadEntrySettings(file: string): EntrySettings {
	return parseEntrySettings(readFileSync(file, 'utf8'), file);
}

/** Parses and validates an entry's settings; `file` names them in errors. Throws `InvalidTextError` with every problem and its line. */
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

import {readFileSync} from 'node:fs';
import {parse} from 'smol-toml';
import {z} from 'zod';
import {InvalidTextError} from '../errors/index.js';

const addressPattern = /^\d+\.\d+\.\d+\.\d+:\d+$/v;
const address = z.string().regex(addressPattern, 'an address as IP number:port');

const entrySchema = z.strictObject({
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

/** Reads and checks the settings file of an entry. Throws `InvalidTextError`. */
export function loadEntrySettings(file: string): EntrySettings {
	const result = entrySchema.safeParse(parse(readFileSync(file, 'utf8')));
	if (!result.success) {
		const problems = result.error.issues.map(issue => ({
			path: issue.path.join('.'), line: 0, found: '', allowed: issue.message,
		}));
		throw new InvalidTextError(`${file} is not valid: ${problems.map(problem => `${problem.path}: ${problem.allowed}`).join('; ')}`, {props: {problems}});
	}

	return result.data;
}

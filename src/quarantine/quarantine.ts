import {createHash} from 'node:crypto';
import type {PrefixBlock} from '../dispatch/index.js';

/** First duration of a quarantine, in milliseconds. After it, one request at a time tests whether the blocks still crash engines. */
const firstDurationMs = 120_000;
/** Factor by which the duration grows each time the blocks have crashed an engine again. */
const durationFactor = 4;
/** Maximum duration of a quarantine, in milliseconds: each test of blocks that still crash engines costs an engine and the requests on it. */
const maxDurationMs = 86_400_000;
/** Maximum number of quarantines, those that have ended included. */
const maxQuarantines = 256;
/** Maximum number of blocks of one quarantine. */
const maxBlocks = 16;
/** Maximum length of a block's id that is kept as it is; callers choose the ids. */
const maxIdLength = 64;
/** Difference in the ends of two quarantines that counts as a change, in milliseconds: remaining times that are passed on lose the time of the message. */
const endToleranceMs = 1000;

/** Blocks that crash engines in prompts that have all of them. */
export type Quarantine = {
	readonly blocks: readonly string[];
	/** Time left, in milliseconds; 0 once it has ended and the blocks have not been cleared since. */
	readonly remainingMs: number;
	/** Number of quarantines in a row that the blocks have been under; 0 once it is lifted. */
	readonly count: number;
};

/** A quarantine that began, changed or was lifted. */
export type QuarantineChange = Quarantine & {
	/** Where it was learned: from a crash here, from another entry, or from an answer to a request with the blocks. */
	readonly cause: 'crash' | 'peer' | 'answer';
};

/** Time for which an answer shows that blocks are sound, in milliseconds. */
const provenMs = 30_000;
/** Maximum number of blocks whose last answer is remembered. */
const maxAnswered = 4096;

type Entry = {readonly blocks: readonly string[]; endsAt: number; count: number};

/**
Prompt blocks that crash engines, and for how long requests with them are refused. A quarantine names the smallest set of blocks that is
known to be at fault: a request with only some of them is served. Times are monotonic, in milliseconds.
*/
export class BlockQuarantine {
	/** By the joined ids of their blocks, the earliest written first. */
	readonly #entries = new Map<string, Entry>();
	/** Monotonic time of the last answer by block, in milliseconds; the earliest answered first. */
	readonly #answeredAt = new Map<string, number>();
	#lastAnsweredAt = Number.NEGATIVE_INFINITY;
	readonly #listeners = new Set<(change: QuarantineChange) => void>();

	/** Number of quarantines in force at `now`. */
	countActive(now: number): number {
		return [...this.#entries.values()].filter(({endsAt}) => endsAt > now).length;
	}

	/** Calls `listener` at each change. Returns a function that ends this. */
	subscribe(listener: (change: QuarantineChange) => void): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	/** Computes for how much longer a prompt with these blocks is refused, in milliseconds; 0 when it may be served. */
	computeRemainingMs(blocks: readonly PrefixBlock[], now: number): number {
		if (this.#entries.size === 0 || blocks.length === 0) {
			return 0;
		}

		const ids = new Set(listIds(blocks));
		return Math.max(0, ...[...this.#entries.values()].filter(entry => isContained(entry, ids)).map(({endsAt}) => endsAt - now));
	}

	/** Lists which of `ids` were quarantined until before `now` and have not been cleared by an answer since. */
	listUnproven(ids: readonly string[], now: number): readonly string[] {
		if (this.#entries.size === 0) {
			return [];
		}

		const set = new Set(ids);
		return [...this.#entries.values()].filter(entry => entry.endsAt <= now && isContained(entry, set)).flatMap(({blocks}) => blocks);
	}

	/** Puts blocks under quarantine after they have crashed an engine; for longer if they have been before. */
	add(ids: readonly string[], now: number): void {
		const blocks = ids.slice(-maxBlocks);
		const count = (this.#entries.get(formatKey(blocks))?.count ?? 0) + 1;
		this.#write({blocks, count, endsAt: now + Math.min(maxDurationMs, firstDurationMs * (durationFactor ** (count - 1)))}, now, 'crash');
	}

	/**
	Takes over quarantines that another entry knows, or has lifted (`count` 0), but for blocks that were answered here shortly before. Returns
	what the other entry should change: quarantines to lift, and those that are left of them.
	*/
	merge(quarantines: readonly Quarantine[], now: number): readonly Quarantine[] {
		const corrections: Quarantine[] = [];
		for (const received of quarantines.slice(0, maxQuarantines)) {
			if (received.count === 0) {
				this.#remove(formatKey(received.blocks), 'peer');
				continue;
			}

			const quarantine = {...received, blocks: received.blocks.filter(id => !this.isProven(id, now))};
			if (quarantine.blocks.length < received.blocks.length) {
				corrections.push({...received, remainingMs: 0, count: 0}, ...(quarantine.blocks.length > 0 ? [quarantine] : []));
			}

			const {blocks, remainingMs, count} = quarantine;
			const known = this.#entries.get(formatKey(blocks));
			const endsAt = now + Math.min(maxDurationMs, remainingMs);
			const isNews = !known || known.count < count || known.endsAt + endToleranceMs < endsAt;
			if (isNews && blocks.length > 0 && blocks.length <= maxBlocks && !this.#hasSubset(blocks, now)) {
				this.#write({blocks: [...blocks], endsAt: Math.max(endsAt, known?.endsAt ?? 0), count: Math.max(count, known?.count ?? 0)}, now, 'peer');
			}
		}

		return corrections;
	}

	/** Tells whether any prompt was answered completely in the last `withinMs`: until then crashes say nothing about one prompt rather than another. */
	hasAnswers(now: number, withinMs: number): boolean {
		return now - this.#lastAnsweredAt < withinMs;
	}

	/** Tells whether a prompt with the block was answered completely shortly before `now`. */
	isProven(id: string, now: number): boolean {
		return now - this.getAnsweredAt(id) < provenMs;
	}

	/** Returns when a prompt with the block was last answered completely, monotonic, in milliseconds; minus infinity if it was not. */
	getAnsweredAt(id: string): number {
		return this.#answeredAt.get(id) ?? Number.NEGATIVE_INFINITY;
	}

	/** Handles that a prompt was answered completely. */
	onPromptAnswered(blocks: readonly PrefixBlock[], now: number): void {
		this.onAnswered(listIds(blocks), now);
	}

	/** Handles that a prompt with these blocks was answered completely: what is left of a quarantine without them is at fault. */
	onAnswered(ids: readonly string[], now: number): void {
		this.#lastAnsweredAt = now;
		for (const id of ids) {
			this.#answeredAt.delete(id);
			this.#answeredAt.set(id, now);
		}

		for (const [id] of this.#answeredAt) {
			if (this.#answeredAt.size <= maxAnswered) {
				break;
			}

			this.#answeredAt.delete(id);
		}

		for (const [key, entry] of this.#entries) {
			const blocks = entry.blocks.filter(id => !ids.includes(id));
			if (blocks.length === entry.blocks.length) {
				continue;
			}

			if (blocks.length > 0) {
				this.#write({...entry, blocks}, now, 'answer');
			} else {
				this.#remove(key, 'answer');
			}
		}
	}

	/** Lists all quarantines, those that have ended included. */
	list(now: number): Quarantine[] {
		return [...this.#entries.values()].map(({blocks, endsAt, count}) => ({blocks, remainingMs: Math.max(0, endsAt - now), count}));
	}

	#remove(key: string, cause: QuarantineChange['cause']): void {
		const entry = this.#entries.get(key);
		if (entry) {
			this.#entries.delete(key);
			this.#notify({
				blocks: entry.blocks, remainingMs: 0, count: 0, cause,
			});
		}
	}

	#write(entry: Entry, now: number, cause: QuarantineChange['cause']): void {
		// A quarantine of more blocks refuses only requests that this one refuses too.
		for (const [key, other] of this.#entries) {
			if (isContained(entry, new Set(other.blocks)) && other.endsAt <= entry.endsAt) {
				this.#entries.delete(key);
			}
		}

		this.#entries.set(formatKey(entry.blocks), entry);
		if (this.#entries.size > maxQuarantines) {
			const [earliest] = [...this.#entries].toSorted(([, left], [, right]) => left.endsAt - right.endsAt);
			this.#entries.delete(earliest![0]);
		}

		this.#notify({
			blocks: entry.blocks, remainingMs: Math.max(0, entry.endsAt - now), count: entry.count, cause,
		});
	}

	/** Tells whether a quarantine of fewer blocks refuses what one of `blocks` would refuse. */
	#hasSubset(blocks: readonly string[], now: number): boolean {
		const set = new Set(blocks);
		return [...this.#entries.values()].some(entry => entry.blocks.length < blocks.length && entry.endsAt > now && isContained(entry, set));
	}

	#notify(change: QuarantineChange): void {
		for (const listener of this.#listeners) {
			listener(change);
		}
	}
}

/** Lists the ids of blocks, long ones as hashes. */
export function listIds(blocks: readonly PrefixBlock[]): string[] {
	return blocks.map(({id}) => id.length <= maxIdLength ? id : createHash('sha256').update(id).digest('hex'));
}

function isContained({blocks}: Pick<Entry, 'blocks'>, ids: ReadonlySet<string>): boolean {
	return blocks.every(id => ids.has(id));
}

function formatKey(blocks: readonly string[]): string {
	return blocks.toSorted().join(' ');
}

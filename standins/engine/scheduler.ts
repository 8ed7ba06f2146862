import type {EngineRole} from '../../src/deployment/index.js';
import {blockTokens} from '../../src/upstreams/index.js';
import type {Timer, TimerService} from '../../src/timers/index.js';
import {pieceTokens, roleCosts} from './costs.js';
import type {PrefixCache} from './prefixcache.js';
import {compareSequences} from './sequence.js';
import type {Sequence} from './sequence.js';

/** What a {@link Scheduler} is given. */
export type SchedulerDependencies = {
	readonly timers: TimerService;
	readonly cache: PrefixCache;
	/** KV cache capacity in pieces of 1,000 tokens. */
	readonly pieces: number;
	readonly getRole: () => EngineRole;
	/** Returns the factor on the duration of a step. */
	readonly getTimeFactor: () => number;
	/** Checks whether the engine holds the KV cache of the whole prompt. */
	readonly hasKv: (sequence: Sequence) => boolean;
	/** Called when a sequence has sent its last event or completed its prefill. */
	readonly onEnd: (sequence: Sequence) => void;
};

/** After a pause of the process, work of at most this duration is caught up on, in milliseconds. */
const maxCatchUpMs = 50;

/** One batching step: the tokens to prefill by sequence, the sequences that decode, and the duration. */
type Step = {readonly prefills: ReadonlyMap<Sequence, number>; readonly decodes: readonly Sequence[]; readonly durationMs: number};

/** Continuous batching: sequences join and leave between steps, and the duration of a step is computed from its prefills and decodes. */
export class Scheduler {
	readonly waiting: Sequence[] = [];
	readonly running = new Set<Sequence>();
	readonly #dependencies: SchedulerDependencies;
	#timer: Timer | undefined;
	#isBusy = false;
	/** Time at which the current step ends, monotonic, in milliseconds. */
	#stepEndsAt = 0;

	constructor(dependencies: SchedulerDependencies) {
		this.#dependencies = dependencies;
	}

	/** Adds a sequence; it joins a step as soon as enough pieces of KV cache are free. */
	add(sequence: Sequence): void {
		this.waiting.push(sequence);
		this.waiting.sort(compareSequences);
		if (!this.#isBusy) {
			this.#isBusy = true;
			this.#stepEndsAt = this.#dependencies.timers.getNow();
			this.#runSteps();
		}
	}

	/** Removes a sequence, whether it waits or runs. */
	remove(sequence: Sequence): void {
		this.running.delete(sequence);
		const index = this.waiting.indexOf(sequence);
		if (index !== -1) {
			this.waiting.splice(index, 1);
		}
	}

	/** Drops all sequences and stops the timer. */
	reset(): void {
		this.#timer?.cancel();
		this.#timer = undefined;
		this.#isBusy = false;
		this.waiting.length = 0;
		this.running.clear();
	}

	/** Counts the pieces of KV cache in use. */
	countPieces(): number {
		return [...this.running].reduce((sum, sequence) => sum + sequence.pieces, 0);
	}

	/** Runs all steps that are due, since timers are coarser than short steps, and starts the timer for the next one. */
	#runSteps(): void {
		for (;;) {
			this.#startWaiting();
			this.#isBusy = this.running.size > 0;
			if (!this.#isBusy) {
				return;
			}

			const step = this.#planStep();
			const now = this.#dependencies.timers.getNow();
			this.#stepEndsAt = Math.max(this.#stepEndsAt, now - maxCatchUpMs) + step.durationMs;
			if (this.#stepEndsAt > now) {
				this.#timer = this.#dependencies.timers.startTimer(this.#stepEndsAt - now, () => {
					this.#finishStep(step);
					this.#runSteps();
				});
				return;
			}

			this.#finishStep(step);
		}
	}

	#startWaiting(): void {
		let freePieces = this.#dependencies.pieces - this.countPieces();
		for (let [first] = this.waiting; first && first.pieces <= freePieces; [first] = this.waiting) {
			this.waiting.shift();
			freePieces -= first.pieces;
			this.#startSequence(first);
		}
	}

	#startSequence(sequence: Sequence): void {
		const {promptTokens, offset} = sequence.request;
		const cachedTokens = this.#dependencies.hasKv(sequence) ? promptTokens : this.#dependencies.cache.countCachedBlocks(sequence.prefixHashes) * blockTokens;
		// At least one token is prefilled, since the first output token is computed from the last prompt token.
		sequence.prefillTokens = Math.max(1, promptTokens - cachedTokens) + offset;
		this.running.add(sequence);
	}

	#planStep(): Step {
		const costs = roleCosts[this.#dependencies.getRole()];
		const ordered = [...this.running].sort(compareSequences);
		const prefills = this.#planPrefills(ordered, costs.maxChunks * pieceTokens);
		const decodes = ordered.filter(sequence => sequence.prefillTokens === 0).slice(0, costs.maxDecodingSequences);
		let tokens = 0;
		for (const count of prefills.values()) {
			tokens += count;
		}

		const workMs = costs.baseMs + (tokens / pieceTokens * costs.chunkMs) + (decodes.length * costs.sequenceMs);
		const interference = tokens > 0 && decodes.length > 0 ? costs.interferenceFactor : 1;
		return {prefills, decodes, durationMs: workMs * interference * this.#dependencies.getTimeFactor()};
	}

	#planPrefills(ordered: readonly Sequence[], maxTokens: number): Map<Sequence, number> {
		const prefills = new Map<Sequence, number>();
		let remainingTokens = maxTokens;
		for (const sequence of ordered) {
			const count = Math.min(sequence.prefillTokens, remainingTokens);
			if (count > 0) {
				prefills.set(sequence, count);
				remainingTokens -= count;
			}
		}

		return prefills;
	}

	#finishStep(step: Step): void {
		for (const [sequence, count] of step.prefills) {
			this.#finishPrefill(sequence, count);
		}

		for (const sequence of step.decodes) {
			if (this.running.has(sequence) && sequence.sendNext()) {
				this.#finishSequence(sequence);
			}
		}
	}

	#finishPrefill(sequence: Sequence, count: number): void {
		if (!this.running.has(sequence)) {
			return;
		}

		sequence.prefillTokens -= count;
		if (sequence.prefillTokens > 0) {
			return;
		}

		this.#dependencies.cache.add(sequence.prefixHashes);
		if (sequence.onPrefilled) {
			this.#finishSequence(sequence);
			sequence.onPrefilled();
		}
	}

	#finishSequence(sequence: Sequence): void {
		this.running.delete(sequence);
		this.#dependencies.onEnd(sequence);
	}
}

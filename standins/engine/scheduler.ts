import type {EngineRole} from '../../src/deployment/index.js';
import {blockTokens} from '../../src/upstreams/index.js';
import type {Timer, TimerService} from '../../src/timers/index.js';
import {pieceTokens, roleCosts} from './costs.js';
import type {PrefixCache} from './prefixcache.js';
import {compareSequences} from './sequence.js';
import type {Sequence} from './sequence.js';

/** What a scheduler needs of its engine. */
export type SchedulerParts = {
	readonly timers: TimerService;
	readonly cache: PrefixCache;
	readonly pieces: number;
	readonly getRole: () => EngineRole;
	/** Factor on the time of a step. */
	readonly getTimeFactor: () => number;
	/** Whether the prompt's KV cache is at hand. */
	readonly hasKv: (sequence: Sequence) => boolean;
	readonly onEnd: (sequence: Sequence) => void;
};

/** A stopped process takes up no more than this of the work it missed, in milliseconds. */
const maxBehindMs = 50;

type Step = {readonly prefills: ReadonlyMap<Sequence, number>; readonly decodes: readonly Sequence[]; readonly durationMs: number};

/** Continuous batching: sequences join and leave between steps, and each step's time follows from what it carries. */
export class Scheduler {
	readonly waiting: Sequence[] = [];
	readonly running = new Set<Sequence>();
	readonly #parts: SchedulerParts;
	#timer: Timer | undefined;
	#isBusy = false;
	/** When the step in progress ends, on the monotonic clock. */
	#due = 0;

	constructor(parts: SchedulerParts) {
		this.#parts = parts;
	}

	/** Takes a sequence in; it joins a step when its KV pieces are free. */
	add(sequence: Sequence): void {
		this.waiting.push(sequence);
		this.waiting.sort(compareSequences);
		if (!this.#isBusy) {
			this.#isBusy = true;
			this.#due = this.#parts.timers.getNow();
			this.#runSteps();
		}
	}

	/** Takes a sequence out, wherever it stands. */
	remove(sequence: Sequence): void {
		this.running.delete(sequence);
		const index = this.waiting.indexOf(sequence);
		if (index !== -1) {
			this.waiting.splice(index, 1);
		}
	}

	/** Forgets everything that waits and runs. */
	reset(): void {
		this.#timer?.cancel();
		this.#timer = undefined;
		this.#isBusy = false;
		this.waiting.length = 0;
		this.running.clear();
	}

	/** Counts the KV pieces in use. */
	countPieces(): number {
		return [...this.running].reduce((sum, sequence) => sum + sequence.pieces, 0);
	}

	/** Runs the steps that are due at once, since timers are coarser than fast steps, and waits for the next. */
	#runSteps(): void {
		for (;;) {
			this.#takeWaiting();
			this.#isBusy = this.running.size > 0;
			if (!this.#isBusy) {
				return;
			}

			const step = this.#planStep();
			const now = this.#parts.timers.getNow();
			this.#due = Math.max(this.#due, now - maxBehindMs) + step.durationMs;
			if (this.#due > now) {
				this.#timer = this.#parts.timers.startTimer(this.#due - now, () => {
					this.#finishStep(step);
					this.#runSteps();
				});
				return;
			}

			this.#finishStep(step);
		}
	}

	#takeWaiting(): void {
		let free = this.#parts.pieces - this.countPieces();
		for (let [first] = this.waiting; first && first.pieces <= free; [first] = this.waiting) {
			this.waiting.shift();
			free -= first.pieces;
			this.#startSequence(first);
		}
	}

	#startSequence(sequence: Sequence): void {
		const {promptTokens, offset} = sequence.request;
		const held = this.#parts.hasKv(sequence) ? promptTokens : this.#parts.cache.countHeld(sequence.prefixes) * blockTokens;
		// At least one token is read, since the last one's result starts the answer.
		sequence.prefillTokens = Math.max(1, promptTokens - held) + offset;
		this.running.add(sequence);
	}

	#planStep(): Step {
		const costs = roleCosts[this.#parts.getRole()];
		const ordered = [...this.running].sort(compareSequences);
		const prefills = this.#planPrefills(ordered, costs.chunks * pieceTokens);
		const decodes = ordered.filter(sequence => sequence.prefillTokens === 0).slice(0, costs.slots);
		let tokens = 0;
		for (const count of prefills.values()) {
			tokens += count;
		}

		const workMs = costs.baseMs + (tokens / pieceTokens * costs.chunkMs) + (decodes.length * costs.sequenceMs);
		const interference = tokens > 0 && decodes.length > 0 ? costs.interference : 1;
		return {prefills, decodes, durationMs: workMs * interference * this.#parts.getTimeFactor()};
	}

	#planPrefills(ordered: readonly Sequence[], budget: number): Map<Sequence, number> {
		const prefills = new Map<Sequence, number>();
		let left = budget;
		for (const sequence of ordered) {
			const count = Math.min(sequence.prefillTokens, left);
			if (count > 0) {
				prefills.set(sequence, count);
				left -= count;
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

		this.#parts.cache.add(sequence.prefixes);
		if (sequence.onPrefilled) {
			this.#finishSequence(sequence);
			sequence.onPrefilled();
		}
	}

	#finishSequence(sequence: Sequence): void {
		this.running.delete(sequence);
		this.#parts.onEnd(sequence);
	}
}

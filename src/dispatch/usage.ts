import {LinearFit} from '../rates/index.js';
import type {LinearModel} from '../rates/index.js';
import {PrefillWindow} from './prefillwindow.js';
import {EngineHealth} from './health.js';
import type {GenerationNeeds} from './needs.js';

/** Output tokens from which a generation holds its place for long: about half a second at somewhat under a ms a token. */
const minLongOutputTokens = 700;
/** Time to read one token before it was measured, in milliseconds: an engine that only reads, and one that also writes. */
const initialPrefillOnlyMsPerToken = 0.002;
const initialMixedMsPerToken = 0.005;
/** Time of a read beyond its tokens before it was measured, in milliseconds: messages and the first token. */
const initialOverheadMs = 8;
/** Part of their weight that earlier reads keep with each new one: some fifty reads count. */
const fitDecayFactor = 0.98;
/** Reads before the measured line is taken. */
const minSamples = 20;
/** A read counts at most as this multiple of what was expected: a longer one tells of a lost message, not of the engine. */
const maxSlowdown = 4;

/** Tells whether a generation holds its place for long. */
export function isLong(needs: GenerationNeeds): boolean {
	return needs.outputTokens >= minLongOutputTokens;
}

/** A prompt that an engine reads, until it has done so. */
export type Prefill = {
	readonly tokens: number;
	/** Tokens that the engine had to read first, this prompt's included. */
	readonly backlogTokens: number;
	readonly startedAt: number;
};

/** What was given of one engine, and how that ended. */
export class EngineUsage {
	/** Told by all holders of its places; what this process's own sends showed is the view's, so that none counts twice. */
	readonly health = new EngineHealth();
	/** Prompts that it reads, for itself or others. */
	prefillCount = 0;
	/** Their tokens. */
	prefillTokens = 0;
	/** Requests that it writes, or will write once their prompts were read. */
	decodeCount = 0;
	/** Those of them whose prompts are still being read elsewhere. */
	awaitingPrefillCount = 0;
	/** Those of them that hold their place for long. */
	longDecodeCount = 0;
	readonly #prefillFit = new LinearFit(fitDecayFactor);
	readonly #prefillWindow = new PrefillWindow();
	#prefillModel: LinearModel;

	constructor(isPrefillOnly: boolean) {
		this.#prefillModel = {intercept: initialOverheadMs, slope: isPrefillOnly ? initialPrefillOnlyMsPerToken : initialMixedMsPerToken};
	}

	/** Computes how long a prompt of so many tokens takes to be read from now, in milliseconds. */
	computePrefillMs(tokens: number): number {
		return this.#prefillModel.intercept + ((this.prefillTokens + tokens) * this.#prefillModel.slope);
	}

	/** Computes how long the prompts take that it has to read, in milliseconds. */
	computeBacklogMs(): number {
		return this.prefillTokens * this.#prefillModel.slope;
	}

	/**
	Tells whether one more prompt may be sent to be read, so that none waits much longer than `maxBacklogMs` at the engine: by
	the time that its tokens take, or by what it has delivered, which also keeps it busy when senders are slow.
	*/
	hasPrefillRoom(maxBacklogMs: number, now: number): boolean {
		return this.prefillCount === 0
			|| this.computeBacklogMs() <= maxBacklogMs
			|| this.prefillTokens < this.#prefillWindow.computeMaxTokens(maxBacklogMs, now);
	}

	/** Counts a prompt that it begins to read. */
	startPrefill(tokens: number, now: number): Prefill {
		this.prefillCount++;
		this.prefillTokens += tokens;
		return {tokens, backlogTokens: this.prefillTokens, startedAt: now};
	}

	/** Counts a prompt that was read, and learns from the time it took; `isMeasured` is false where that tells nothing. */
	finishPrefill(prefill: Prefill, now: number, isMeasured: boolean): void {
		this.prefillCount--;
		this.prefillTokens -= prefill.tokens;
		if (!isMeasured) {
			return;
		}

		this.#prefillWindow.onPrefill(prefill.tokens, now - prefill.startedAt, now);
		const expectedMs = this.#prefillModel.intercept + (prefill.backlogTokens * this.#prefillModel.slope);
		this.#prefillFit.add(prefill.backlogTokens, Math.min(now - prefill.startedAt, expectedMs * maxSlowdown));
		const model = this.#prefillFit.count < minSamples ? undefined : this.#prefillFit.computeModel();
		this.#prefillModel = model && model.slope > 0 ? model : this.#prefillModel;
	}

	/** Counts a request that it will write. */
	startDecode(needs: GenerationNeeds, isPrefilledElsewhere: boolean): void {
		this.decodeCount++;
		this.awaitingPrefillCount += isPrefilledElsewhere ? 1 : 0;
		this.longDecodeCount += isLong(needs) ? 1 : 0;
	}

	/** Counts a prompt that was read elsewhere for it. */
	onPrefilled(): void {
		this.awaitingPrefillCount--;
	}

	/** Counts a request that has ended. */
	finishDecode(needs: GenerationNeeds): void {
		this.decodeCount--;
		this.longDecodeCount -= isLong(needs) ? 1 : 0;
	}
}

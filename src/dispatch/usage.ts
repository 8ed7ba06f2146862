import {LinearFit} from '../rates/index.js';
import type {LinearModel} from '../rates/index.js';
import {PrefillWindow} from './prefillwindow.js';
import {EngineHealth} from './health.js';
import type {GenerationNeeds} from './needs.js';

/** Output tokens from which a generation holds its slot for long: about half a second, at somewhat under a millisecond a token. */
const minLongOutputTokens = 700;
/** Time to prefill one token until it has been measured, in milliseconds: on an engine that only prefills, and on one that also decodes. */
const initialPrefillOnlyMsPerToken = 0.002;
const initialMixedMsPerToken = 0.005;
/** Time of a prefill beyond that of its tokens until it has been measured, in milliseconds: messages and the first token. */
const initialOverheadMs = 8;
/** Share of their weight that earlier prefills keep with each new one: about fifty prefills count. */
const fitDecayFactor = 0.98;
/** Number of measured prefills from which the fitted model is used. */
const minSamples = 20;
/** Maximum multiple of its expected time that a prefill counts as: a longer one points to a lost message, not to a slow engine. */
const maxSlowdown = 4;

/** Tells whether a generation holds its slot for long. */
export function isLong(needs: GenerationNeeds): boolean {
	return needs.outputTokens >= minLongOutputTokens;
}

/** A prefill in progress. */
export type Prefill = {
	readonly tokens: number;
	/** Tokens that the engine had to prefill when this one started, its own included. */
	readonly backlogTokens: number;
	readonly startedAt: number;
};

/** What is reserved on one engine now, with its health and prefill speed as the holders of reservations report them. */
export class EngineUsage {
	/**
	Health by the outcomes that holders of reservations report, in this process and in others. Outcomes that this process
	sees in its own sends also go to `EngineView.health`; the two are kept apart so that no send counts twice in either.
	*/
	readonly health = new EngineHealth();
	/** Number of prompts that it has to prefill, for itself or for another engine. */
	prefillCount = 0;
	/** Number of tokens of those prompts. */
	prefillTokens = 0;
	/** Number of requests that it decodes, or will decode once their prompts are prefilled. */
	decodeCount = 0;
	/** Number of those whose prompts are still being prefilled on another engine. */
	awaitingPrefillCount = 0;
	/** Number of those that hold their slot for long. */
	longDecodeCount = 0;
	readonly #prefillFit = new LinearFit(fitDecayFactor);
	readonly #prefillWindow = new PrefillWindow();
	#prefillModel: LinearModel;

	/** Takes whether the engine only prefills, which sets the speed assumed until it has been measured. */
	constructor(isPrefillOnly: boolean) {
		this.#prefillModel = {intercept: initialOverheadMs, slope: isPrefillOnly ? initialPrefillOnlyMsPerToken : initialMixedMsPerToken};
	}

	/** Estimates the time until a further prompt of `tokens` would be prefilled, in milliseconds. */
	computePrefillMs(tokens: number): number {
		return this.#prefillModel.intercept + ((this.prefillTokens + tokens) * this.#prefillModel.slope);
	}

	/** Estimates the time that the prompts in progress take to prefill, in milliseconds. */
	computeBacklogMs(): number {
		return this.prefillTokens * this.#prefillModel.slope;
	}

	/**
	Tells whether one more prompt may be sent, so that none waits much longer than `maxBacklogMs` at the engine. A prompt
	may be sent when the estimated backlog is short enough, or when fewer tokens are in flight than the measured throughput
	allows; the latter keeps the engine busy when senders are slow.
	*/
	hasPrefillRoom(maxBacklogMs: number, now: number): boolean {
		return this.prefillCount === 0
			|| this.computeBacklogMs() <= maxBacklogMs
			|| this.prefillTokens < this.#prefillWindow.computeMaxTokens(maxBacklogMs, now);
	}

	/** Adds a prompt to prefill at `now`, in milliseconds. */
	startPrefill(tokens: number, now: number): Prefill {
		this.prefillCount++;
		this.prefillTokens += tokens;
		return {tokens, backlogTokens: this.prefillTokens, startedAt: now};
	}

	/** Removes a prefill that ended at `now`; `isMeasured` is false when its time does not tell how fast the engine is. */
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

	/** Adds a request to decode. */
	startDecode(needs: GenerationNeeds, isPrefilledElsewhere: boolean): void {
		this.decodeCount++;
		this.awaitingPrefillCount += isPrefilledElsewhere ? 1 : 0;
		this.longDecodeCount += isLong(needs) ? 1 : 0;
	}

	/** Records that the prefill of a request to decode here has ended on another engine. */
	onPrefilled(): void {
		this.awaitingPrefillCount--;
	}

	/** Removes a request to decode that has ended. */
	finishDecode(needs: GenerationNeeds): void {
		this.decodeCount--;
		this.longDecodeCount -= isLong(needs) ? 1 : 0;
	}
}

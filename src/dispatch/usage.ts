import type {PlaneModel} from '../rates/index.js';
import {
	addPrefillWork, computePlane, noPrefillWork, PrefillModel,
} from './prefillmodel.js';
import type {PrefillWork} from './prefillmodel.js';
import {PrefillWindow} from './prefillwindow.js';
import {EnginePace} from './eventpace.js';
import type {ServicePace} from './eventpace.js';
import {EngineHealth} from './health.js';
import type {GenerationNeeds} from './needs.js';

/** Output tokens from which a generation holds its slot for long: about half a second, at somewhat under a millisecond a token. */
const minLongOutputTokens = 700;
/**
Time of prompts that may wait at an engine, as a multiple of the time of a mean prompt: one is prefilled and one follows. A request that waits in the queue instead can still be reordered or refused.
*/
const maxQueuedPrompts = 2;
/** Minimum of that time, in milliseconds: messages between entries take as long on any engine. */
const minQueueMs = 40;
/** Minimum of the longest round trip that counts as the engine's and the network's own, in milliseconds: slow senders of fast engines. */
const minRoundTripLimitMs = 60;
/** The longest round trip as a multiple of the fitted time of an empty engine. */
const roundTripLimitFactor = 1.25;
/** Prompts that an engine gets at once before a prefill of its kind was measured. */
const maxUnmeasuredPrompts = 2;

/** Models that are assumed before anything was measured, so that engines compare by their backlogs; an engine that also decodes is slower. */
const unmeasuredPrefillOnlyModel: PlaneModel = {intercept: 0, first: 0.005, second: 0};
const unmeasuredMixedModel: PlaneModel = {intercept: 0, first: 0.0125, second: 0};

/** Tells whether a generation holds its slot for long. */
export function isLong(needs: GenerationNeeds): boolean {
	return needs.outputTokens >= minLongOutputTokens;
}

/** A prefill in progress. */
export type Prefill = {
	readonly work: PrefillWork;
	/** Work that the engine had to do when this one started, its own included. */
	readonly backlog: PrefillWork;
	readonly startedAt: number;
};

/** What is reserved on one engine now, with its health and prefill speed as the holders of reservations report them. */
export class EngineUsage {
	/**
	Health by the outcomes that holders of reservations report, in this process and in others. Outcomes that this process
	sees in its own sends also go to `EngineView.health`; the two are kept apart so that no send counts twice in either.
	*/
	readonly health = new EngineHealth();
	/** How fast it sends the events of streams. */
	readonly pace: EnginePace;
	/** Number of prompts that it has to prefill, for itself or for another engine. */
	prefillCount = 0;
	/** Work of those prompts. */
	prefillWork = noPrefillWork;
	/** Number of requests that it decodes, or will decode once their prompts are prefilled. */
	decodeCount = 0;
	/** Number of those whose prompts are still being prefilled on another engine. */
	awaitingPrefillCount = 0;
	/** Number of those that hold their slot for long. */
	longDecodeCount = 0;
	readonly #prefillModel: PrefillModel;
	readonly #unmeasuredModel: PlaneModel;
	readonly #prefillWindow = new PrefillWindow();
	/** Blocks of the requests in progress, with the number of requests that use each. */
	readonly #activeBlocks = new Map<string, {readonly tokens: number; readonly count: number}>();
	#ownKvTokens = 0;
	#sharedKvTokens = 0;

	/** Takes whether the engine only prefills, the prefill model of all engines of its kind, and the pace of all of its service. */
	constructor(isPrefillOnly: boolean, kindModel = new PrefillModel(), servicePace?: ServicePace) {
		this.pace = new EnginePace(servicePace);
		this.#prefillModel = new PrefillModel(kindModel);
		this.#unmeasuredModel = isPrefillOnly ? unmeasuredPrefillOnlyModel : unmeasuredMixedModel;
	}

	/** Estimates the time until a further prompt would be prefilled, in milliseconds; before anything was measured, the work itself is the measure. */
	computePrefillMs(work: PrefillWork): number {
		return computePlane(this.#model, addPrefillWork(this.prefillWork, work));
	}

	/** Estimates the time that the prompts in progress take to prefill, in milliseconds. */
	computeBacklogMs(): number {
		return this.computeBusyMs(this.prefillWork);
	}

	/** Estimates the time that the engine is busy with a mean prompt, in milliseconds; infinite before anything was measured. */
	computeMeanMs(): number {
		return this.#prefillModel.model ? this.computeBusyMs(this.#prefillModel.meanWork) : Number.POSITIVE_INFINITY;
	}

	/** Estimates the time that the engine is busy with some work, in milliseconds. */
	computeBusyMs(work: PrefillWork): number {
		return computePlane({...this.#model, intercept: 0}, work);
	}

	/**
	Tells whether one more prompt may be sent, so that none waits much longer at the engine than a few prompts take. It may be
	sent when the estimated backlog is short enough, or when less work is in flight than the measured throughput allows; the
	latter keeps the engine busy while prompts are under way, and where the time to the first token is fixed. `share` is the
	share of the engine's capacity that may be reserved.
	*/
	hasPrefillRoom(share: number, now: number): boolean {
		const {model, meanWork} = this.#prefillModel;
		if (this.prefillCount === 0) {
			return true;
		}

		if (!model) {
			return this.prefillCount < maxUnmeasuredPrompts;
		}

		const queueMs = Math.max(minQueueMs, this.computeBusyMs(meanWork) * maxQueuedPrompts) * share;
		const maxRoundTripMs = Math.max(minRoundTripLimitMs, model.intercept * roundTripLimitFactor);
		const backlogMs = this.computeBacklogMs();
		return backlogMs <= queueMs || backlogMs < this.#prefillWindow.computeMaxMs(queueMs, maxRoundTripMs, now);
	}

	/** Adds a prompt to prefill at `now`, in milliseconds. */
	startPrefill(work: PrefillWork, now: number): Prefill {
		this.prefillCount++;
		this.prefillWork = addPrefillWork(this.prefillWork, work);
		return {work, backlog: this.prefillWork, startedAt: now};
	}

	/** Removes a prefill that ended at `now`; `isMeasured` is false when its time does not tell how fast the engine is. */
	finishPrefill(prefill: Prefill, now: number, isMeasured: boolean): void {
		this.prefillCount--;
		this.prefillWork = this.prefillCount === 0 ? noPrefillWork : addPrefillWork(this.prefillWork, prefill.work, -1);
		if (!isMeasured) {
			return;
		}

		const durationMs = now - prefill.startedAt;
		this.#prefillWindow.onPrefill(this.computeBusyMs(prefill.work), durationMs, now);
		this.#prefillModel.add(prefill.work, prefill.backlog, durationMs);
	}

	get #model(): PlaneModel {
		return this.#prefillModel.model ?? this.#unmeasuredModel;
	}

	/** Whether a request in progress takes KV memory. */
	get isHoldingKv(): boolean {
		return this.#ownKvTokens + this.#sharedKvTokens > 0;
	}

	/** Computes the tokens of KV memory that the requests in progress and a further one take at their fullest; blocks that several share count once. */
	computeKvTokens(needs: GenerationNeeds): number {
		const newBlockTokens = needs.prefixBlocks.reduce((sum, {id, tokens}) => sum + (this.#activeBlocks.has(id) ? 0 : tokens), 0);
		return this.#ownKvTokens + this.#sharedKvTokens + needs.uniqueTokens + needs.outputTokens + newBlockTokens;
	}

	/** Adds the KV memory of a request. */
	addKv({prefixBlocks, uniqueTokens, outputTokens}: GenerationNeeds): void {
		this.#ownKvTokens += uniqueTokens + outputTokens;
		for (const {id, tokens} of prefixBlocks) {
			const active = this.#activeBlocks.get(id);
			this.#sharedKvTokens += active ? 0 : tokens;
			this.#activeBlocks.set(id, {tokens: active?.tokens ?? tokens, count: (active?.count ?? 0) + 1});
		}
	}

	/** Removes the KV memory of a request that `holdKv` added. */
	releaseKv({prefixBlocks, uniqueTokens, outputTokens}: GenerationNeeds): void {
		this.#ownKvTokens -= uniqueTokens + outputTokens;
		for (const {id} of prefixBlocks) {
			const active = this.#activeBlocks.get(id);
			if (active && active.count > 1) {
				this.#activeBlocks.set(id, {tokens: active.tokens, count: active.count - 1});
			} else if (active) {
				this.#activeBlocks.delete(id);
				this.#sharedKvTokens -= active.tokens;
			}
		}
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

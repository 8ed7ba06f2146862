import {LinearFit, PlaneFit} from '../rates/index.js';
import type {PlaneModel} from '../rates/index.js';

/** What an engine has to do for a prefill. */
export type PrefillWork = {
	/** Tokens that it prefills. */
	readonly tokens: number;
	/** Pairs of a prefilled token and one before it in the prompt, in millions: the attention of long prompts costs more per token. */
	readonly pairs: number;
};

/** Work of an engine that has nothing to do. */
export const noPrefillWork: PrefillWork = {tokens: 0, pairs: 0};

const tokensPerPairUnit = 1_000_000;

/** Computes the work of prefilling the last `tokens` of a prompt of `promptTokens`. */
export function createPrefillWork(tokens: number, promptTokens: number): PrefillWork {
	return {tokens, pairs: tokens * (Math.max(tokens, promptTokens) - (tokens / 2)) / tokensPerPairUnit};
}

/** Adds `factor` times the work `right` to the work `left`. */
export function addPrefillWork(left: PrefillWork, right: PrefillWork, factor = 1): PrefillWork {
	return {tokens: left.tokens + (right.tokens * factor), pairs: left.pairs + (right.pairs * factor)};
}

/** Share of their weight that earlier prefills keep with each new one: about fifty prefills count. */
const fitDecayFactor = 0.98;
/** Number of measured prefills from which a fitted model is used. */
const minSamples = 12;
/** Maximum multiple of its expected time that a prefill counts as: a longer one points to a lost message, not to a slow engine. */
const maxSlowdown = 4;
/** Weight of the newest prompt in the mean work. */
const meanWeight = 0.05;

/**
Time of a prefill, from its reservation to its report, by the work in front of it and its own. The intercept is what a
prefill takes without occupying the engine: messages, and a fixed time to the first token.
*/
export class PrefillModel {
	readonly #plane = new PlaneFit(fitDecayFactor);
	readonly #line = new LinearFit(fitDecayFactor);
	readonly #parent: PrefillModel | undefined;
	#model: PlaneModel | undefined;
	#meanWork: PrefillWork | undefined;

	/** Takes the model of all engines of the same kind, which applies until enough prefills of this one are measured. */
	constructor(parent?: PrefillModel) {
		this.#parent = parent;
	}

	/** The fitted model, in milliseconds, per token and per million pairs; `undefined` before enough prefills of the kind were measured. */
	get model(): PlaneModel | undefined {
		return this.#model ?? this.#parent?.model;
	}

	/** Mean work of a prompt. */
	get meanWork(): PrefillWork {
		return this.#meanWork ?? this.#parent?.meanWork ?? noPrefillWork;
	}

	/** Adds a prefill that took `durationMs`, with `backlog` the work in front of it and of its own. */
	add(work: PrefillWork, backlog: PrefillWork, durationMs: number): void {
		const {model} = this;
		const maxMs = model ? computePlane(model, backlog) * maxSlowdown : Number.POSITIVE_INFINITY;
		const countedMs = Math.min(durationMs, maxMs);
		this.#line.add(backlog.tokens, countedMs);
		this.#plane.add(backlog.tokens, backlog.pairs, countedMs);
		this.#model = this.#line.count < minSamples ? undefined : this.#computeFittedModel() ?? this.#model;
		this.#meanWork = addPrefillWork(this.#meanWork ?? work, addPrefillWork(work, this.#meanWork ?? work, -1), meanWeight);
		this.#parent?.add(work, backlog, durationMs);
	}

	#computeFittedModel(): PlaneModel | undefined {
		const plane = this.#plane.computeModel();
		if (plane) {
			return plane;
		}

		const line = this.#line.computeModel();
		return line && line.slope > 0 ? {intercept: line.intercept, first: line.slope, second: 0} : undefined;
	}
}

/** Computes the time of work by a model, in milliseconds. */
export function computePlane({intercept, first, second}: PlaneModel, {tokens, pairs}: PrefillWork): number {
	return intercept + (tokens * first) + (pairs * second);
}

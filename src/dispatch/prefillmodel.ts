import {LinearFit} from '../rates/index.js';
import type {LinearModel} from '../rates/index.js';

/** Share of their weight that earlier prefills keep with each new one: about fifty prefills count. */
const fitDecayFactor = 0.98;
/** Number of measured prefills from which a fitted model is used. */
const minSamples = 12;
/** Maximum multiple of its expected time that a prefill counts as: a longer one points to a lost message, not to a slow engine. */
const maxSlowdown = 4;
/** Weight of the newest prompt in the mean size. */
const meanTokensWeight = 0.05;

/**
Time of a prefill, from its reservation to its report, as a line over the tokens in front of it and its own. The intercept
is what a prefill takes without occupying the engine: messages, and a fixed time to the first token.
*/
export class PrefillModel {
	readonly #fit = new LinearFit(fitDecayFactor);
	readonly #parent: PrefillModel | undefined;
	#model: LinearModel | undefined;
	#meanTokens: number | undefined;

	/** Takes the model of all engines of the same kind, which applies until enough prefills of this one are measured. */
	constructor(parent?: PrefillModel) {
		this.#parent = parent;
	}

	/** The fitted line, in milliseconds and milliseconds per token; `undefined` before anything of the kind was measured. */
	get line(): LinearModel | undefined {
		return this.#model ?? this.#parent?.line;
	}

	/** Mean number of tokens of a prompt; 0 before the first. */
	get meanTokens(): number {
		return this.#meanTokens ?? this.#parent?.meanTokens ?? 0;
	}

	/** Adds a prefill of `tokens` that took `durationMs` with `backlogTokens` in front of it and of its own. */
	add(tokens: number, backlogTokens: number, durationMs: number): void {
		const {line} = this;
		const maxMs = line ? (line.intercept + (backlogTokens * line.slope)) * maxSlowdown : Number.POSITIVE_INFINITY;
		this.#fit.add(backlogTokens, Math.min(durationMs, maxMs));
		const model = this.#fit.count < minSamples ? undefined : this.#fit.computeModel();
		this.#model = model && model.slope > 0 ? model : this.#model;
		this.#meanTokens = this.#meanTokens === undefined ? tokens : this.#meanTokens + ((tokens - this.#meanTokens) * meanTokensWeight);
		this.#parent?.add(tokens, backlogTokens, durationMs);
	}
}

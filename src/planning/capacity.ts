/** What one engine does in a second when it does nothing else, in tokens. */
export type EngineRates = {readonly prefill: number; readonly decode: number};

/** Tokens asked for in a second. */
export type TokenDemand = {readonly prompt: number; readonly output: number};

/** Part of the capacity that can be used before answers come late. */
const maxUtilization = 0.85;

/**
Computes how much of a demand engines can serve together, as a factor: 1 is all of it, 2 twice as much. The engines
that are comparatively best at prefill do that, the others decode, and one does both.
*/
export function computeCapacityRatio(engines: readonly EngineRates[], demand: TokenDemand): number {
	const sorted = engines.toSorted((left, right) => (right.prefill * left.decode) - (left.prefill * right.decode));
	const prompt = Math.max(demand.prompt, 1);
	const output = Math.max(demand.output, 1);
	let prefillRate = 0;
	let decodeRate = 0;
	for (const engine of sorted) {
		decodeRate += engine.decode;
	}

	let maxRatio = 0;
	for (const engine of sorted) {
		decodeRate -= engine.decode;
		// Where both parts are served alike: (prefill + x * p) / prompt = (decode + (1 - x) * d) / output.
		const balancedShare = (((decodeRate + engine.decode) * prompt) - (prefillRate * output)) / ((engine.prefill * output) + (engine.decode * prompt));
		const prefillShare = Math.min(1, Math.max(0, balancedShare));
		maxRatio = Math.max(maxRatio, Math.min((prefillRate + (prefillShare * engine.prefill)) / prompt, (decodeRate + ((1 - prefillShare) * engine.decode)) / output));
		prefillRate += engine.prefill;
	}

	return maxRatio;
}

/** Computes the part of a demand, 0 to 1, that is expected to be answered in time. */
export function computeGoodput(engines: readonly EngineRates[], demand: TokenDemand): number {
	return Math.min(1, computeCapacityRatio(engines, demand) * maxUtilization);
}

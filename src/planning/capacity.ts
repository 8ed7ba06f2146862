/** Tokens per second that an engine reaches when it only prefills, and when it only decodes. */
export type EngineRates = {readonly prefill: number; readonly decode: number};

/** Demanded tokens per second, of prompts and of output. */
export type TokenDemand = {readonly prompt: number; readonly output: number};

/** Share of the capacity that can be used before answers become late. */
const maxUtilization = 0.85;

/**
Computes the ratio of the engines' joint capacity to the demand: with 1 they can serve all of it, with 2 twice as much.
The engines with the highest ratio of prefill rate to decode rate prefill, the others decode, and one does both.
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
		// Prefill share of this engine's time at which prefill and decode have the same ratio of capacity to demand:
		// (prefillRate + share * engine.prefill) / prompt = (decodeRate + (1 - share) * engine.decode) / output.
		const balancedShare = (((decodeRate + engine.decode) * prompt) - (prefillRate * output)) / ((engine.prefill * output) + (engine.decode * prompt));
		const prefillShare = Math.min(1, Math.max(0, balancedShare));
		maxRatio = Math.max(maxRatio, Math.min((prefillRate + (prefillShare * engine.prefill)) / prompt, (decodeRate + ((1 - prefillShare) * engine.decode)) / output));
		prefillRate += engine.prefill;
	}

	return maxRatio;
}

/** Computes the share of a demand, 0 to 1, that is expected to be answered in time. */
export function computeGoodput(engines: readonly EngineRates[], demand: TokenDemand): number {
	return Math.min(1, computeCapacityRatio(engines, demand) * maxUtilization);
}

const millisecondsPerSecond = 1000;
/** Share of a store's rate that processes use which all react to the same event; the rest is for what else is called meanwhile. */
const maxRateShare = 0.25;

/**
Computes the time over which processes spread calls that the same event causes in all of them, in milliseconds, so that
together they stay within a share of the rate that the callee takes.
*/
export function computeSpreadMs(processCount: number, callsPerProcess: number, callsPerSecond: number): number {
	return processCount * callsPerProcess / Math.max(1, callsPerSecond * maxRateShare) * millisecondsPerSecond;
}

import type {ScalingSpec, WorkSummary} from './types.js';

/**
Share of its time that an engine may be busy at the peak load: prompts are read one batch after another, and up to this share
a prompt seldom waits for more than one of them.
*/
const maxUtilisation = 0.5;
/** The same for as long as it takes to replace engines that were reclaimed: prompts wait, and most are still on time. */
const maxShortUtilisation = 0.65;
/** Share of the slots that may be taken at the peak load. */
const maxSlotShare = 0.75;
/** Reserve beyond the peak need. */
const reserveFactor = 1.2;
/** Maximum factor by which a rising trend raises the present load: the means that it is taken from are of few requests. */
const maxTrendFactor = 2;
/** Time between the two means of a trend, in milliseconds. */
const trendSpanMs = 1500;
const millisecondsPerSecond = 1000;

/** Number of engines that a service needs. */
export type EngineNeed = {
	/** For its peak load with a reserve, so that requests are on time. */
	readonly full: number;
	/** The same by the measured work alone, whatever the minimum. */
	readonly measured: number;
	/** For its peak load while lost engines are being replaced. */
	readonly short: number;
};

/**
Computes the need for engines from the work that callers offered: the peak of the last 15 s with a reserve of a fifth, or the
trend of the last 3 s continued until an engine that is ordered now serves. Slots count beside time, as a request holds its slot from its reservation to its end.
*/
export function computeNeed(work: WorkSummary, {bootMs}: ScalingSpec, slotsPerEngine: number, minNeed: number): EngineNeed {
	const risePerMs = Math.max(0, work.recentWork - work.earlierWork) / trendSpanMs;
	const expectedWork = Math.min(work.recentWork * maxTrendFactor, work.recentWork + (risePerMs * bootMs));
	const busyEngines = Math.max(work.peakWork * reserveFactor, expectedWork) / millisecondsPerSecond;
	const takenEngines = work.peakSlots / Math.max(1, slotsPerEngine);
	const measured = Math.ceil(Math.max(1, busyEngines / maxUtilisation, takenEngines * reserveFactor / maxSlotShare));
	const full = Math.max(measured, minNeed);
	const short = Math.ceil(Math.max(1, work.peakWork / millisecondsPerSecond / maxShortUtilisation, takenEngines));
	return {full, measured, short: Math.min(full, short)};
}

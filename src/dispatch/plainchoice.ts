import type {EngineView} from './engine.js';

/**
Requests for each slot up to which an engine gets further ones: beyond it they wait at the entry, where they can still go to another engine. Only
a recent report counts: an entry that waited by long-run means would get no further report, and wait for good.
*/
const maxLoadPerSlot = 2;
/** Power by which the chance of an engine falls with its expected time: entries with the same old report must not all choose the same engine. */
const choicePower = 4;
/** Expected time relative to the best one from which an engine is not chosen, unless to measure it again. */
const maxTimeFactor = 3;
/** Chance of an unmeasured engine relative to one that is as fast as the others: some sixty entries probe a restarted engine at once. */
const probeWeight = 0.1;
/** Chance relative to the best engine of one that is too slow to be chosen, by which its recovery is seen. */
const recheckWeight = 0.01;
/** Weight of failures: an engine's expected time is multiplied by 1 plus this many times the share of its requests that failed. */
const failurePenalty = 8;
/** Request duration assumed while no engine has one measured, in milliseconds. */
const assumedDurationMs = 50;
/** Share of the shortest expected service time below which the time left is too short for an answer: calls vary, and short ones still end in time. */
const minServiceShare = 0.3;

/** Tells whether any engine reports the slowdown of its machine, so that plain calls are placed by expected completion time. */
export function isReportingSlowdown(views: readonly EngineView[]): boolean {
	return views.some(view => view.reports.hasSlowdown);
}

/** Estimates the time that a request takes at an engine once it has a slot, in milliseconds. An engine without a measured speed counts as fast as `fallbackMs`. */
function estimateServiceMs({reports}: EngineView, fallbackMs: number, now: number): number {
	return (reports.normalDurationMs ?? fallbackMs) * reports.estimateSlowdown(now);
}

/** Estimates the time from a request's send at `now` to its answer, in milliseconds: its wait behind the requests there, and its service. */
export function estimateCompletionMs(view: EngineView, fallbackMs: number, now: number): number {
	const slots = Math.max(1, view.record.slots);
	const load = view.localRequests + view.reports.estimateRemoteRequests(now);
	// The load is known within some requests only: an engine that is nearly full by it may have a queue.
	const waitingShare = Math.max(0, load + 1 - slots) / slots;
	const crowdedShare = (Math.min(1, load / slots) ** 4) / slots;
	return estimateServiceMs(view, fallbackMs, now) * (1 + waitingShare + crowdedShare) * (1 + (view.health.failureShare * failurePenalty));
}

/** Computes the mean duration at the engines whose speed is measured, without slowdown, in milliseconds. */
export function computeFallbackMs(views: readonly EngineView[]): number {
	const durations = views.flatMap(({reports}) => reports.normalDurationMs ?? []);
	return durations.length === 0 ? assumedDurationMs : durations.reduce((sum, value) => sum + value, 0) / durations.length;
}

/**
Chooses an engine for a plain call by the expected completion time, of those that report the slowdown of their machine. Skips the engines
in `tried`; returns `undefined` when no other is available and has room. `getRandom` returns a uniform random number in [0, 1).

Made for this load: 121 calls a second of 43 ms mean (spread 0.5, one in a hundred five times as long) from 62 entries on three engines of
6 slots with 24 queued that refuse when full; each engine's machine is 2.5 times as slow for 15% of the time, changing each 0.6 s; speeds
0.55 to 1.2 of the usual. An entry sees two calls a second, so most of its reports are older than what they tell: they fade to the long-run
means, and the choice among the engines is random, with chances that fall steeply with the expected time.
*/
export function choosePlainEngineByReports(views: readonly EngineView[], tried: ReadonlySet<EngineView>, now: number, getRandom: () => number): EngineView | undefined {
	const fallbackMs = computeFallbackMs(views);
	const hasMeasured = views.some(({reports}) => reports.normalDurationMs !== undefined);
	const open = views.filter(view => view.isAvailable(now) && !tried.has(view)
		&& view.localRequests + view.reports.estimateRecentRequests(now) < view.record.slots * maxLoadPerSlot);
	const expectedMs = open.map(view => estimateCompletionMs(view, fallbackMs, now));
	const bestMs = Math.min(...expectedMs);
	const weights = open.map((view, index) => {
		const isUnmeasured = hasMeasured && view.reports.normalDurationMs === undefined;
		const factor = expectedMs[index]! / bestMs;
		return (factor > maxTimeFactor ? recheckWeight : factor ** -choicePower) * (isUnmeasured ? probeWeight : 1);
	});
	let rest = getRandom() * weights.reduce((sum, weight) => sum + weight, 0);
	const chosen = open.find((_view, index) => {
		rest -= weights[index]!;
		return rest < 0;
	}) ?? open.at(-1);
	chosen?.onChosen(chosen.turn, now);
	return chosen;
}

/** Tells whether a request is unlikely to be answered by `deadlineAt` even by the fastest engine at once. Always false where no engine reports a slowdown. */
export function isTooLateFor(deadlineAt: number, views: readonly EngineView[], now: number): boolean {
	if (!isReportingSlowdown(views)) {
		return false;
	}

	const fallbackMs = computeFallbackMs(views);
	return now + (Math.min(...views.map(view => estimateServiceMs(view, fallbackMs, now))) * minServiceShare) > deadlineAt;
}

/** An engine for an extra send, with the expected time from the send to the answer, in milliseconds. */
export type FurtherEngine = {readonly view: EngineView; readonly expectedMs: number};

/** Finds the engine that is expected to complete a further send first, of those with a free slot by what is known; `undefined` when there is none. Skips the engines in `tried`. */
export function findFurther(views: readonly EngineView[], tried: ReadonlySet<EngineView>, now: number): FurtherEngine | undefined {
	const fallbackMs = computeFallbackMs(views);
	let best: FurtherEngine | undefined;
	for (const view of views) {
		const hasFreeSlot = view.localRequests + view.reports.estimateRemoteRequests(now) + 1 <= view.record.slots;
		if (hasFreeSlot && !tried.has(view) && view.isAvailable(now)) {
			const expectedMs = estimateCompletionMs(view, fallbackMs, now);
			best = best && best.expectedMs <= expectedMs ? best : {view, expectedMs};
		}
	}

	return best;
}

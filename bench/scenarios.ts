import type {Phase} from './mix.js';

/** Load phases of a run, and whether faults are injected during it. */
export type Scenario = {
	readonly phases: readonly Phase[];
	/** Whether an engine crashes and an entry is killed and restarted during the run. */
	readonly hasFaults?: boolean;
};

/** Requests per second of the calm mix that the six engines of a deployment serve with little queueing. */
const calmRequestsPerSecond = 14;
const calmPrefillHeavyShare = 0.35;
const minuteMs = 60_000;

const shifting: readonly Phase[] = [
	{durationMs: minuteMs, requestsPerSecond: 14, prefillHeavyShare: 0.35},
	{durationMs: 2.5 * minuteMs, requestsPerSecond: 22, prefillHeavyShare: 0.9},
	{durationMs: 2.5 * minuteMs, requestsPerSecond: 45, prefillHeavyShare: 0.03},
	{durationMs: 2.5 * minuteMs, requestsPerSecond: 22, prefillHeavyShare: 0.9},
];

/** Scenarios by name. */
export const scenarios: Readonly<Record<string, Scenario>> = {
	calm: {phases: [{durationMs: 2 * minuteMs, requestsPerSecond: calmRequestsPerSecond, prefillHeavyShare: calmPrefillHeavyShare}]},
	shifting: {phases: shifting},
	overload2: {phases: [{durationMs: minuteMs, requestsPerSecond: 2 * calmRequestsPerSecond, prefillHeavyShare: calmPrefillHeavyShare}]},
	overload5: {phases: [{durationMs: minuteMs, requestsPerSecond: 5 * calmRequestsPerSecond, prefillHeavyShare: calmPrefillHeavyShare}]},
	faults: {phases: shifting, hasFaults: true},
};

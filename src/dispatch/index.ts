/** Decides, without I/O, which requests wait, which are refused and which engines serve them. */
export {PrefixCacheIndex} from './prefixcache.js';
export type {PrefixBlock} from './prefixcache.js';
export {EngineView, engineStage} from './engine.js';
export type {EngineLoad, EngineRecord, EngineStage} from './engine.js';
export {Fleet} from './fleet.js';
export {GrantRate} from './grantrate.js';
export {EngineHealth, engineOutcome, isSignOfLife} from './health.js';
export type {EngineOutcome} from './health.js';
export {
	heldBack, isOnTimeAt, comparePriority, computeRetryAfterMs, maxReturnShare, isOverdue, QueueRefusal, AdmissionQueue,
} from './queue.js';
export type {QueuedRequest} from './queue.js';
export {CustomerShares} from './customershares.js';
export {chooseGenerationPlacement, choosePlainEngine, estimateFirstTokenMs} from './placement.js';
export {isPausedUntil} from './pause.js';
export {
	computeFallbackMs, estimateCompletionMs, findFurther, isReportingSlowdown, isTooLateFor,
} from './plainchoice.js';
export type {FurtherEngine} from './plainchoice.js';
export type {GenerationNeeds} from './needs.js';
export type {GenerationPlacement, PlacementContext} from './placement.js';
export {AdaptiveThrottle} from './throttle.js';
export {createPrefillWork, noPrefillWork, PrefillModel} from './prefillmodel.js';
export type {PrefillWork} from './prefillmodel.js';
export {computeTransferMs, countPrefixTokens} from './prefillplan.js';
export {EngineUsage, isLong} from './usage.js';
export type {Prefill} from './usage.js';
export {EnginePace, ServicePace} from './eventpace.js';
export type {StreamPace} from './eventpace.js';

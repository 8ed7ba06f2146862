/** Decisions on queueing, refusing and placing requests at engines; without I/O. */
export {CachePicture} from './cache.js';
export type {SharedPart} from './cache.js';
export {EngineView, engineStage} from './engine.js';
export type {EngineLoad, EngineRecord, EngineStage} from './engine.js';
export {Fleet} from './fleet.js';
export {GivenPart} from './given.js';
export {EngineHealth, engineSign} from './health.js';
export type {EngineSign} from './health.js';
export {
	isOnTimeAt, compareTurns, computeReturnAfterMs, isOverdue, LineRefusal, WaitingLine,
} from './line.js';
export type {Waiting} from './line.js';
export {chooseGenerationPlace, choosePlainPlace} from './placement.js';
export type {GenerationNeeds} from './needs.js';
export type {GenerationPlace, PlacementPicture} from './placement.js';
export {Thinning} from './thinning.js';
export {EngineUse, isLong} from './use.js';
export type {Reading} from './use.js';

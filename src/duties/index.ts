/** Duties that one entry at a time holds, and the platform's calls that only their holders make. */
export {
	Duty, dutyOutcome, DutyPlatform, DutyStore,
} from './types.js';
export type {
	DutyFence, DutyOutcome, EngineOrder, StoredValue,
} from './types.js';

/** Duties that one entry at a time holds, and the platform's calls that only their holders make. */
export {
	Duty, dutyOutcome, DutyPlatform, DutyStore,
} from './types.js';
export type {
	DutyFence, DutyLease, DutyOutcome, EngineOrder, StoredValue, StoreWrite,
} from './types.js';
export {dutyKey, formatHolder, parseHolder} from './record.js';
export type {DutyRecord} from './record.js';
export {LeasedDuty} from './leasedduty.js';
export type {LeasedDutyDependencies, LeasedDutyOptions} from './leasedduty.js';

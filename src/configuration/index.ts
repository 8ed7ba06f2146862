/** Applies an operator's configuration, and keeps the highest accepted version in force at each entry. */
export {applyConfiguration} from './apply.js';
export type {
	AppliedConfiguration, ApplyMechanism, ApplyDependencies, ApplyRequest,
} from './apply.js';
export {certainty, ConfigurationTracker} from './tracker.js';
export type {Certainty, ConfigurationTrackerDependencies} from './tracker.js';
export {createRecord, decodeRecord} from './record.js';
export type {ConfigurationRecord} from './record.js';

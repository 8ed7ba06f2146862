/** The accepted configuration: applying a text, and keeping the highest version in force. */
export {applyConfiguration} from './apply.js';
export type {
	AppliedConfiguration, ApplyMechanism, ApplyDependencies, ApplyRequest,
} from './apply.js';
export {certainty, ConfigurationTracker} from './tracker.js';
export type {Certainty, ConfigurationTrackerDependencies} from './tracker.js';
export {createRecord, decodeRecord} from './record.js';
export type {ConfigurationRecord} from './record.js';

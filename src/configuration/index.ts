/** The accepted configuration: applying a text, and keeping the highest version in force. */
export {applyText} from './apply.js';
export type {
	Applied, ApplyMechanism, ApplyOptions, ApplyRequest,
} from './apply.js';
export {certainty, ConfigurationKeeper} from './keeper.js';
export type {Certainty, KeeperOptions} from './keeper.js';
export {createRecord, decodeRecord} from './record.js';
export type {ConfigurationRecord} from './record.js';

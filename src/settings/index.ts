/** Loads and validates an entry's settings, before anything else starts. */
export {loadEntrySettings, parseEntrySettings} from './settings.js';
export type {EntrySettings} from './settings.js';

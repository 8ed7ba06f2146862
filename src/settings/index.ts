/** Settings of each process, checked before anything starts. */
export {loadEntrySettings, parseEntrySettings} from './settings.js';
export type {EntrySettings} from './settings.js';

/** Changes of state with their causes, for `events` and `explain`. */
export {History} from './history.js';
export type {HistoryEvent, NewEvent} from './history.js';

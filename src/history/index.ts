/** Records the state changes of a process with their causes, for the operators' commands `events` and `explain`. */
export {History} from './history.js';
export type {HistoryEvent, NewEvent} from './history.js';

/** The entry's process: callers' HTTP side and everything behind it, put together. */
export {startEntry} from './entry.js';

/** Decides, without I/O, when a request that may be repeated is also sent to a second engine before the first one answers, within a share of extra work. */
export {ExtraSends} from './extrasends.js';
export type {ExtraSendCounts, OpenExtraSend} from './extrasends.js';
export {TimeQuantiles} from './quantiles.js';
export {WorkAccount} from './account.js';

import type {Cell} from '../matrix.js';
import {listCallCells} from './servingcalls.js';
import {listStopCells} from './servingstop.js';
import {listStreamCells} from './servingstreams.js';

/** Lists the cells of serving: streamed requests, calls that may not be repeated, and the graceful stop. */
export function listServingCells(): readonly Cell[] {
	return [...listStreamCells(), ...listCallCells(), ...listStopCells()];
}

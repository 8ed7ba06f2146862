/** The rows of the fault matrix: each part lists its own cells. */
import type {Cell} from '../matrix.js';
import {listConfigurationCells} from './configuration.js';
import {listAuthorityCells} from './authority.js';
import {listDecisionCells} from './decisions.js';
import {listServingCells} from './serving.js';

/** Lists every cell of every part. */
export function listCells(): readonly Cell[] {
	return [...listServingCells(), ...listAuthorityCells(), ...listConfigurationCells(), ...listDecisionCells()];
}

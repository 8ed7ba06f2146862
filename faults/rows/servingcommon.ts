import {pointName} from '../matrix.js';
import type {Cell, FaultName} from '../matrix.js';

/** Throws when a point does not hold. */
export function checkThat(condition: boolean, message: string): void {
	if (!condition) {
		throw new RangeError(message);
	}
}

/** Lists the cells of faults that can't meet a procedure's steps, with the reasons. */
export function listNotApplicable(procedure: string, steps: readonly string[], reasons: Partial<Record<FaultName, string>>): readonly Cell[] {
	return Object.entries(reasons).flatMap(([fault, notApplicable]) => steps.map(step => ({
		point: pointName.wholeAnswer,
		procedure,
		step,
		fault: fault as FaultName,
		notApplicable,
		async run() {
			throw new RangeError('not applicable');
		},
	})));
}

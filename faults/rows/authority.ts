import {listBarrierCells} from '../authority/barrier.js';
import {isOrderStep, isWriteStep} from '../authority/inject.js';
import {mechanism} from '../authority/mechanisms.js';
import type {Mechanism} from '../authority/mechanisms.js';
import {procedures, settling} from '../authority/procedures.js';
import type {FaultedProcedure} from '../authority/procedures.js';
import {runFault} from '../authority/run.js';
import {faultName, pointName} from '../matrix.js';
import type {Cell, FaultName, PointName} from '../matrix.js';

const faults = [
	faultName.killBefore,
	faultName.killAfter,
	faultName.freeze,
	faultName.freezePastLease,
	faultName.platformDown,
	faultName.platformSlow,
	faultName.cutPlatform,
	faultName.cutPeers,
	faultName.answerLost,
	faultName.crossedAnswer,
	faultName.engineCrash,
	faultName.operatorRace,
	faultName.pair,
] as const;

/** Lists every fault at every step of every procedure of the authority, over fenced and unfenced engines. */
export function listAuthorityCells(): readonly Cell[] {
	return [
		...[...procedures, settling].flatMap(procedure => listProcedureCells(procedure, true)),
		...procedures.flatMap(procedure => listProcedureCells(procedure, false)),
		...listBarrierCells(),
	];
}

function listProcedureCells(procedure: FaultedProcedure, isFenced: boolean): readonly Cell[] {
	return [...new Set(procedure.steps)].flatMap(step => faults.map(fault => createCell(procedure, step, fault, isFenced)));
}

function createCell(procedure: FaultedProcedure, step: string, fault: FaultName, isFenced: boolean): Cell {
	return {
		point: getPoint(fault),
		procedure: `${procedure.name} (${isFenced ? 'fenced' : 'unfenced'})`,
		step,
		fault,
		async run(context) {
			await runFault({
				procedure, step, fault, isFenced,
			}, context);
		},
		mechanisms: listMechanisms(procedure, step, fault, isFenced),
		notApplicable: explainNotApplicable(step, fault),
	};
}

/** What this cell is expected to fail without: a late order of a sender that lost its authority, or any order at all. */
function listMechanisms(procedure: FaultedProcedure, step: string, fault: FaultName, isFenced: boolean): readonly Mechanism[] {
	const found: Mechanism[] = procedure.name === 'withdraw a plain service' ? [] : [mechanism.intentionFirst];
	const isLate = step.startsWith('send ') && (fault === faultName.freezePastLease || fault === faultName.pair);
	// A restarted engine is ready by itself: it gets no other order that the late one could conflict with.
	const isHarmless = isFenced && procedure.name === 'resume' && fault === faultName.pair;
	if (isLate && !isHarmless) {
		found.push(isFenced ? mechanism.fence : mechanism.senders);
	}

	if (isFenced && fault === faultName.freezePastLease && step.startsWith('check the authority to ')) {
		found.push(mechanism.leaseClock);
	}

	return found;
}

function explainNotApplicable(step: string, fault: FaultName): string | undefined {
	if (fault === faultName.answerLost && !isWriteStep(step) && !isOrderStep(step)) {
		return 'the step changes nothing outside the process';
	}

	return fault === faultName.crossedAnswer && !isOrderStep(step) ? 'the step sends nothing to an engine' : undefined;
}

function getPoint(fault: FaultName): PointName {
	if (fault === faultName.freezePastLease || fault === faultName.pair) {
		return pointName.lostAuthority;
	}

	return fault === faultName.cutPeers || fault === faultName.freeze ? pointName.notCut : pointName.conflictingOrders;
}

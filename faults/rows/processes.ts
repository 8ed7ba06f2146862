import {faultName, pointName} from '../matrix.js';
import type {Cell} from '../matrix.js';
import {runEmptyStart, runFrozenAuthority} from '../processes/control.js';
import {
	runEngineKill, runEntryKill, runGracefulStop, runSilentEngine,
} from '../processes/streams.js';

const procedure = 'real processes';

/** Lists the cells that only real processes can show; they share one deployment, which `closeWorld` ends. */
export function listProcessCells(): readonly Cell[] {
	return [
		{
			point: pointName.wholeAnswer, procedure, step: 'entry in mid stream', fault: faultName.killAfter, run: runEntryKill,
		},
		{
			point: pointName.wholeAnswer, procedure, step: 'engine in mid stream', fault: faultName.engineCrash, run: runEngineKill,
		},
		{
			point: pointName.wholeAnswer, procedure, step: 'sockets between entry and engine', fault: faultName.silentConnection, run: runSilentEngine,
		},
		{
			point: pointName.gracefulStop, procedure, step: 'SIGTERM under load', fault: faultName.killAfter, run: async () => runGracefulStop(1),
		},
		{
			point: pointName.gracefulStop, procedure, step: 'SIGTERM under load', fault: faultName.secondSignal, run: async () => runGracefulStop(2),
		},
		{
			point: pointName.configuration, procedure, step: 'start with an empty memory', fault: faultName.platformDown, run: runEmptyStart,
		},
		{
			point: pointName.lostAuthority, procedure, step: 'authority during a drain', fault: faultName.freezePastLease, run: runFrozenAuthority,
		},
	];
}

import {operationKind} from '../../src/operations/index.js';
import {FakeDomain, joinFacts} from '../fakes/domain.js';
import type {FakeEntry} from '../fakes/entry.js';
import {faultName, pointName} from '../matrix.js';
import type {Cell, CellContext, FaultName} from '../matrix.js';
import {createOptionsWithout, mechanism} from './mechanisms.js';

type Situation = {
	readonly name: string;
	readonly fault: FaultName;
	/** Whether the entry acknowledges while its request runs, so that its count alone keeps the upstream. */
	readonly isHeard: boolean;
	/** Brought about at an entry without the authority that has a long request at the upstream. */
	readonly run: (domain: FakeDomain, entry: FakeEntry, upstream: string) => void;
};

const longWorkMs = 4000;
const shortMs = 6000;
const silenceMs = 12_000;
const settleMs = 120_000;

const situations: readonly Situation[] = [
	{
		name: 'another entry has a long request',
		fault: faultName.lateLoad,
		isHeard: true,
		run(_domain, entry, upstream) {
			entry.startWork(upstream, longWorkMs);
		},
	},
	{
		name: 'another entry freezes with a long request',
		fault: faultName.freeze,
		isHeard: false,
		run(domain, entry, upstream) {
			entry.startWork(upstream, longWorkMs);
			domain.timers.startTimer(100, () => {
				entry.gate.stop();
			});
			domain.timers.startTimer(shortMs, () => {
				entry.gate.resume();
			});
		},
	},
	{
		name: 'another entry freezes between choosing and sending',
		fault: faultName.freezePastLease,
		isHeard: true,
		run(domain, entry, upstream) {
			entry.startWork(upstream, longWorkMs);
			entry.gate.stop();
			domain.timers.startTimer(shortMs, () => {
				entry.gate.resume();
			});
		},
	},
	{
		name: 'another entry is cut off with a long request',
		fault: faultName.cutPeers,
		isHeard: false,
		run(domain, entry, upstream) {
			entry.startWork(upstream, longWorkMs);
			entry.isCut = true;
			domain.timers.startTimer(shortMs, () => {
				entry.isCut = false;
				for (const other of domain.entries) {
					joinFacts(entry, other);
				}
			});
		},
	},
];

/** Lists what can happen at other entries while the authority drains an upstream. */
export function listBarrierCells(): readonly Cell[] {
	const cells: Cell[] = [createLateCell(true), createLateCell(false)];
	for (const situation of situations) {
		for (const upstream of ['e1', 'a1']) {
			cells.push(createDrainCell(situation, upstream, true), createDrainCell(situation, upstream, false));
		}
	}

	return cells;
}

function createDrainCell(situation: Situation, upstream: string, isFenced: boolean): Cell {
	const isService = upstream.startsWith('a');
	return {
		point: pointName.notCut,
		procedure: `drain barrier of ${isService ? 'a plain service' : 'an engine'} (${isFenced ? 'fenced' : 'unfenced'})`,
		step: situation.name,
		fault: situation.fault,
		mechanisms: isService && situation.isHeard ? [mechanism.barrier] : [],
		async run(context) {
			const domain = await startDomain(isFenced, context);
			domain.timers.startInterval(100, () => {
				void domain.stopWithdrawn();
			});
			situation.run(domain, findOther(domain), upstream);
			if (isService) {
				await domain.ask('1', operationKind.withdraw, upstream);
			} else {
				domain.setText('2');
			}

			await domain.timers.advance(shortMs);
			await domain.waitFor('the drain', async () => domain.isSettled(), settleMs);
			domain.check();
		},
	};
}

/** An entry that the list has dropped and nobody hears wakes with a request for an engine that is about to change. */
function createLateCell(isFenced: boolean): Cell {
	return {
		point: pointName.notCut,
		procedure: `drain barrier of an engine (${isFenced ? 'fenced' : 'unfenced'})`,
		step: 'a forgotten entry wakes before the change',
		fault: faultName.pair,
		mechanisms: [mechanism.drainOrder],
		async run(context) {
			const forgotten: FakeEntry[] = [];
			const domain = await startDomain(isFenced, context, async step => {
				const late = step === 'send configure' ? forgotten.pop() : undefined;
				if (late) {
					late.gate.resume();
					await domain.timers.sleep(20);
				}
			});
			const late = findOther(domain);
			forgotten.push(late);
			late.startWork('e1', longWorkMs);
			late.gate.stop();
			domain.platform.vms = domain.platform.vms.filter(({vm}) => vm !== late.vm);
			await domain.timers.advance(silenceMs);
			domain.setRole('e1', 'decode');
			await domain.waitFor('the change', async () => domain.isSettled(), settleMs);
			domain.check();
		},
	};
}

async function startDomain(isFenced: boolean, {seed, without}: CellContext, onStep?: (step: string) => Promise<void>): Promise<FakeDomain> {
	const domain = new FakeDomain({
		seed,
		isFenced,
		...createOptionsWithout(without),
		async onBefore(_entry, step) {
			await onStep?.(step.name);
		},
	});
	await domain.start();
	return domain;
}

function findOther(domain: FakeDomain): FakeEntry {
	const holder = domain.findHolder();
	const other = domain.entries.find(entry => entry !== holder);
	if (!other) {
		throw new RangeError('there is no other entry');
	}

	return other;
}

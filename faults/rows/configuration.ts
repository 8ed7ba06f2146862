import {ConfigurationWorld, createRequest} from '../fakes/configurationworld.js';
import {stopFault, startFault} from '../fakes/configurationfaults.js';
import {checkAccepted, checkEverywhere, checkVersions} from '../fakes/configurationjudge.js';
import {faultName, pointName} from '../matrix.js';
import type {Cell, CellContext, FaultName} from '../matrix.js';
import type {Step} from '../../src/procedures/index.js';

const faultMs = 10_000;
/** Shorter than the bound of silence: messages are lost and no connection is closed. */
const shortMs = 2000;
/** The brief's bound: in force everywhere within seconds. */
const everywhereMs = 5000;
const applier = 'vm-1';

const applyFaults: readonly FaultName[] = [
	faultName.killBefore,
	faultName.killAfter,
	faultName.freeze,
	faultName.cutPeers,
	faultName.cutPlatform,
	faultName.cutOneWay,
	faultName.platformDown,
	faultName.platformSlow,
	faultName.answerLost,
	faultName.operatorRace,
	faultName.silentConnection,
	faultName.crossedAnswer,
];
const applySteps = ['parse and check', 'read the stored value', 'compare and swap', 'publish'] as const;
const startFaults: readonly FaultName[] = [
	faultName.freeze,
	faultName.cutPeers,
	faultName.cutOneWay,
	faultName.cutPlatform,
	faultName.platformDown,
	faultName.platformSlow,
	faultName.silentConnection,
	faultName.crossedAnswer,
	faultName.killAfter,
];
const pairs: ReadonlyArray<readonly [FaultName, FaultName]> = [
	[faultName.answerLost, faultName.killAfter],
	[faultName.operatorRace, faultName.answerLost],
	[faultName.platformDown, faultName.cutPeers],
	[faultName.freeze, faultName.operatorRace],
	[faultName.silentConnection, faultName.crossedAnswer],
	[faultName.cutPeers, faultName.killAfter],
];
/** Lists the cells of configuration: applying, starting with an empty memory, spreading, and acknowledging a closed upstream. */
export function listConfigurationCells(): readonly Cell[] {
	return [
		...applySteps.flatMap(step => applyFaults.map(fault => createApplyCell(step, [fault]))),
		...applySteps.flatMap(step => pairs.map(pair => createApplyCell(step, pair))),
		...startFaults.flatMap(fault => ['before the start', 'after the start'].map(step => createStartCell(step, fault))),
		...startFaults.flatMap(fault => [faultMs, shortMs].flatMap(lastsMs => [true, false].map(isStoreDown => createSpreadCell(fault, {isStoreDown, lastsMs})))),
		...startFaults.map(fault => createAcknowledgeCell(fault)),
	];
}

function createApplyCell(step: string, faults: readonly FaultName[]): Cell {
	const [first] = faults;
	return {
		point: pointName.configuration,
		procedure: 'apply a configuration',
		step: faults.length > 1 ? `${step} (${faults.join(', ')})` : step,
		fault: faults.length > 1 ? faultName.pair : first!,
		mechanisms: listApplyMechanisms(step, faults),
		async run(context) {
			await runApply(step, faults, context);
		},
	};
}

function listApplyMechanisms(step: string, faults: readonly FaultName[]): readonly string[] {
	const isRace = faults.includes(faultName.operatorRace);
	const isLostAlone = faults.length === 1 && faults[0] === faultName.answerLost && step !== 'publish';
	return [...isRace ? ['compare-and-swap on base'] : [], ...isLostAlone ? ['read-back'] : [], 'highest version holds'];
}

async function runApply(step: string, faults: readonly FaultName[], context: CellContext): Promise<void> {
	const world = new ConfigurationWorld(context.without);
	await world.start();
	let isFired = false;
	const onStep = async (found: Step, isAfter: boolean) => {
		if (isFired || found.name !== step || isAfter !== faults.includes(faultName.killAfter)) {
			return;
		}

		isFired = true;
		for (const fault of faults) {
			startFault(world, applier, fault, context.seed);
		}

		await world.waitWhileStopped(applier);
	};

	const request = createRequest('second', 1);
	void world.apply(applier, request, {
		onBefore: async found => onStep(found, false),
		onAfter: async found => onStep(found, true),
	});
	await world.timers.advance(faultMs);
	for (const fault of faults) {
		await stopFault(world, applier, fault);
	}

	await world.timers.advance(everywhereMs);
	checkEverywhere(world);
	checkTold(world, faults);
	// The operator asks again through another entry, also for the first one, which came long before.
	void world.apply('vm-2', request);
	await world.timers.advance(everywhereMs);
	void world.apply('vm-3', createRequest('first', 0));
	await world.timers.advance(everywhereMs);
	checkAccepted(world, {first: 0, second: 1, rival: 1});
	checkEverywhere(world);
	checkVersions(world);
}

/** With the store up, a lost answer alone must not leave the operator without the outcome. */
function checkTold(world: ConfigurationWorld, faults: readonly FaultName[]): void {
	if (faults.length === 1 && faults[0] === faultName.answerLost) {
		const told = world.told.find(one => one.operation === 'op-second');
		if (told?.outcome !== 'accepted') {
			throw new RangeError(`the operator was told ${told?.outcome ?? 'nothing'} of a write that took effect`);
		}
	}
}

function createStartCell(step: string, fault: FaultName): Cell {
	return {
		point: pointName.configuration,
		procedure: 'start with empty memory',
		step,
		fault,
		async run({seed, without}) {
			const world = new ConfigurationWorld(without);
			await world.start();
			void world.apply('vm-2', createRequest('second', 1));
			await world.timers.advance(everywhereMs);
			world.getEntry(applier).abort();
			if (step === 'before the start') {
				startFault(world, applier, fault, seed);
			}

			await world.startEntry(applier);
			if (step === 'after the start' || fault === faultName.freeze || fault === faultName.cutPlatform) {
				startFault(world, applier, fault, seed);
			}

			if (fault === faultName.platformDown) {
				startFault(world, applier, faultName.platformDown, seed);
			}

			await world.timers.advance(faultMs);
			world.checkCertainty(applier);
			await stopFault(world, applier, fault);
			await world.timers.advance(2 * everywhereMs);
			checkEverywhere(world);
			checkVersions(world);
		},
	};
}

type SpreadVariant = {readonly isStoreDown: boolean; readonly lastsMs: number};

function createSpreadCell(fault: FaultName, variant: SpreadVariant): Cell {
	return {
		point: pointName.configuration,
		procedure: 'spread',
		step: `the first text on its way, ${variant.lastsMs} ms${variant.isStoreDown ? ', the store down from then on' : ''}`,
		fault,
		mechanisms: listSpreadMechanisms(fault, variant),
		async run(context) {
			await runSpread(fault, variant, context);
		},
	};
}

/** With the store down only the feed brings the text; a message lost without a closed connection is anti-entropy's to find. */
function listSpreadMechanisms(fault: FaultName, {isStoreDown, lastsMs}: SpreadVariant): readonly string[] {
	if (isStoreDown && fault === faultName.silentConnection) {
		return ['heartbeat on links'];
	}

	return isStoreDown && fault === faultName.cutOneWay && lastsMs === shortMs ? ['anti-entropy'] : [];
}

async function runSpread(fault: FaultName, {isStoreDown, lastsMs}: SpreadVariant, {seed, without}: CellContext): Promise<void> {
	const world = new ConfigurationWorld(without);
	await world.start();
	let isFired = false;
	const startStoreDown = () => {
		if (isStoreDown) {
			startFault(world, applier, faultName.platformDown, seed);
		}
	};

	world.wires.onSent = (_from, to, message) => {
		if (!isFired && (message.kind === 'text' || message.kind === 'need')) {
			isFired = true;
			world.faulted = to.replace('peer-', '');
			startFault(world, world.faulted, fault, seed);
			startStoreDown();
		}
	};

	void world.apply('vm-2', createRequest('second', 1));
	await world.timers.advance(lastsMs);
	await stopFault(world, world.faulted, fault);
	startStoreDown();
	await world.timers.advance(everywhereMs);
	checkAccepted(world, {first: 0, second: 1});
	checkEverywhere(world);
	checkVersions(world);
}

function createAcknowledgeCell(fault: FaultName): Cell {
	return {
		point: pointName.configuration,
		procedure: 'membership acknowledgement',
		step: 'between the closing and the last request\'s end',
		fault,
		async run({seed, without}) {
			const world = new ConfigurationWorld(without);
			await world.start();
			world.getEntry(applier).running.set('e1', 2);
			world.watchAcknowledgements('vm-3', 'e1');
			world.getEntry('vm-3').facts.merge({
				kind: 'upstream', key: 'e1', version: 7, value: {state: 'closing'},
			});
			startFault(world, applier, fault, seed);
			await world.timers.advance(faultMs);
			await stopFault(world, applier, fault);
			world.getEntry(applier).running.set('e1', 0);
			await world.timers.advance(everywhereMs);
			world.checkAcknowledged('vm-3', 'e1', 7);
		},
	};
}

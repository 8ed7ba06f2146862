import {upstreamState} from '../../src/feed/index.js';
import {DecisionWorld, decisionMechanism} from '../fakes/decisionworld.js';
import {faultName, pointName} from '../matrix.js';
import type {Cell, CellContext} from '../matrix.js';

const procedure = 'route a request';
const twoHere: ReadonlyArray<readonly [string, string]> = [['e1', 'here'], ['e2', 'here']];
const hereAndThere: ReadonlyArray<readonly [string, string]> = [['e1', 'here'], ['e9', 'there']];

/** Lists the cells of routing, admission and retries. */
export function listDecisionCells(): readonly Cell[] {
	return [
		...listLeavingCells(), ...listLateLoadCells(), ...listSlowCells(), ...listFailingCells(), ...listRetryCells(), ...listSpillCells(),
	];
}

type Check = (world: DecisionWorld) => Promise<void>;

function createCell(cell: Omit<Cell, 'procedure' | 'run'>, engines: ReadonlyArray<readonly [string, string]>, check: Check): Cell {
	return {
		...cell,
		procedure,
		async run({seed, without}: CellContext) {
			const world = new DecisionWorld(seed, without, engines);
			try {
				await check(world);
				world.checkNotRun();
			} finally {
				world.close();
			}
		},
	};
}

/** Every state in which an upstream takes no new work, met before a request, during one and after a crash. */
function listLeavingCells(): Cell[] {
	const states = [upstreamState.closing, upstreamState.away, upstreamState.withdrawn];
	const faults = [
		{
			name: faultName.killAfter, apply(world: DecisionWorld) {
				world.engines.get('e1')!.core.reset();
			},
		},
		{
			name: faultName.lateLoad, apply(world: DecisionWorld) {
				world.publishLoad('e1', {prefillTokens: 0, running: 0});
				world.publishLoad('e2', {prefillTokens: 30_000, running: 30});
			},
		},
		{
			name: faultName.cutPlatform, apply() {
			// Nothing more is heard: the last fact holds.
			},
		},
	];
	return states.flatMap(state => faults.map(({name, apply}) => createCell({
		point: pointName.leaving, step: `choose after ${state}`, fault: name, mechanisms: [decisionMechanism.openCheck],
	}, twoHere, async world => {
		world.sendRequests(4);
		await world.timers.advance(200);
		world.publishState('e1', state);
		const since = world.timers.getNow();
		apply(world);
		world.sendRequests(20);
		await world.timers.advance(20_000);
		checkCount('requests that e1 started after it left', world.countStarted('e1', since), 0, 0);
	})));
}

/** Load reports that are late or missing, with a burst of requests meanwhile. */
function listLateLoadCells(): Cell[] {
	return [4000, 8000].map(tokens => createCell({
		point: pointName.wholeAnswer, step: `choose with ${tokens} tokens more at one engine in an old report`, fault: faultName.lateLoad, mechanisms: [decisionMechanism.ownWork],
	}, twoHere, async world => {
		world.publishLoad('e1', {prefillTokens: tokens});
		world.publishLoad('e2', {prefillTokens: 0});
		for (let index = 0; index < 40; index++) {
			world.sendRequests(1, {promptTokens: 2000});
		}

		await world.timers.advance(50);
		checkCount('requests of a burst that e1 started', world.countStarted('e1'), 10, 30);
		await world.timers.advance(30_000);
		checkCount('whole answers', world.ended.filter(({isWhole}) => isWhole).length, 38, 40);
	}));
}

/** An engine that gets slower without failing, and one that is slow and comes back. */
function listSlowCells(): Cell[] {
	return [30, 100].map(factor => createCell({
		point: pointName.wholeAnswer, step: `first token ${factor} times late`, fault: faultName.freeze, mechanisms: [decisionMechanism.ownWork],
	}, twoHere, async world => {
		const send = async (seconds: number) => {
			for (let index = 0; index < seconds * 5; index++) {
				world.sendRequests(1);
				await world.timers.advance(200);
			}
		};

		await send(5);
		const slow = world.engines.get('e1')!.core;
		slow.slowFactor = factor;
		await send(10);
		const since = world.timers.getNow();
		await send(20);
		checkCount('requests that the slow engine started', world.countStarted('e1', since), 0, 20);
		slow.slowFactor = 1;
		await send(30);
		const back = world.timers.getNow();
		await send(10);
		checkCount('requests of the engine that came back', world.countStarted('e1', back), 10, 50);
		await world.timers.advance(60_000);
		checkCount('requests without an end', world.router.countInFlight('e1') + world.router.countInFlight('e2'), 0, 0);
	}));
}

/** An engine that refuses everything as not run, and one that takes work again. */
function listFailingCells(): Cell[] {
	return [1, 5].map(perSecond => createCell({
		point: pointName.notRun, step: `choose among engines of which one refuses, ${perSecond} requests a second`, fault: faultName.engineCrash, mechanisms: [decisionMechanism.health],
	}, twoHere, async world => {
		const send = async (seconds: number) => {
			for (let index = 0; index < seconds * perSecond; index++) {
				world.sendRequests(1);
				await world.timers.advance(1000 / perSecond);
			}
		};

		await send(10);
		await world.drainEngine('e1');
		await send(60);
		checkCount('requests that e1 refused', world.countRefused('e1'), 1, 14);
		await world.resumeEngine('e1');
		await send(20);
		const back = world.timers.getNow();
		await send(20);
		checkCount('requests of the engine that came back', world.countStarted('e1', back), 5 * perSecond, 15 * perSecond);
	}));
}

/** Engines refuse in turns, too shortly to be left alone: attempts stay near the number of requests. */
function listRetryCells(): Cell[] {
	const engines = Array.from({length: 6}, (_value, index) => [`e${index}`, 'here'] as const);
	const turns = 200;
	const turnMs = 100;
	return [1, 2].map(perTurn => createCell({
		point: pointName.notRun, step: `retry, ${perTurn} requests a turn`, fault: faultName.engineCrash, mechanisms: [decisionMechanism.retryBudget],
	}, engines, async world => {
		for (let turn = 0; turn < turns; turn++) {
			for (const [index, [id]] of engines.entries()) {
				await ((index + turn) % 2 === 0 ? world.drainEngine(id) : world.resumeEngine(id));
			}

			world.sendRequests(perTurn);
			await world.timers.advance(turnMs);
		}

		let attempts = 0;
		for (const [id] of engines) {
			attempts += world.countRefused(id) + world.countStarted(id);
		}

		const count = turns * perTurn;
		checkCount('attempts that reached the engines', attempts, count * 0.9, (count * 1.1) + (turns * turnMs / 2000) + 4);
	}));
}

/** Work spills over to another failure domain, which is then cut off before and during the choice. */
function listSpillCells(): Cell[] {
	const faults = [faultName.cutPeers, faultName.killBefore, faultName.cutOneWay];
	return faults.map(fault => createCell({
		point: pointName.notRun, step: 'choose another failure domain', fault, mechanisms: [decisionMechanism.liveEntries, decisionMechanism.admission],
	}, hereAndThere, async world => {
		world.publishEntry('vm-9', 'there');
		world.publishLoad('e9');
		world.publishLoad('e1', {prefillTokens: 600_000});
		world.sendRequests(5);
		await world.timers.advance(100);
		checkCount('requests that spilled over', world.countStarted('e9'), 5, 5);
		world.publishEntry('vm-9', 'there', false);
		world.publishLoad('e1', {prefillTokens: 600_000});
		world.sendRequests(10);
		await world.timers.advance(30_000);
		checkCount('requests that went to a domain cut off', world.countStarted('e9'), 5, 5);
		checkCount('requests that went into a hopeless queue', world.countStarted('e1'), 0, 0);
		checkCount('requests refused as not run', world.ended.filter(({refusal}) => refusal === 'deadline').length, 10, 10);
	}));
}

function checkCount(what: string, found: number, least: number, most: number): void {
	if (found < least || found > most) {
		throw new RangeError(`${what}: ${found}, not ${least} to ${most}`);
	}
}

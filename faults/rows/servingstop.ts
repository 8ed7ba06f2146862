import {GracefulStop, stopPhase} from '../../src/entry/index.js';
import {History} from '../../src/history/index.js';
import type {Step} from '../../src/procedures/index.js';
import {createAnswer} from '../fakes/streams.js';
import {StreamWorld} from '../fakes/streamworld.js';
import type {CallerRecord} from '../fakes/streamworld.js';
import {faultName, pointName} from '../matrix.js';
import type {Cell, CellContext, FaultName} from '../matrix.js';
import {checkThat, listNotApplicable} from './servingcommon.js';

const procedure = 'graceful stop';
const size = 300;
const tokenMs = 100;
const balancerWaitMs = 5000;
const freezeMs = 8000;
const taskName = 'give up the lease';
const steps = ['say not ready', 'wait for the balancer', 'refuse new requests', 'wait for requests in progress', taskName, 'say stopped'];
const faults: readonly FaultName[] = [faultName.secondSignal, faultName.freeze, faultName.engineCrash, faultName.silentConnection, faultName.pair];

/** Lists the cells of the graceful stop. */
export function listStopCells(): readonly Cell[] {
	return [
		...steps.flatMap(step => faults.map(fault => createCell(step, fault))),
		...listNotApplicable(procedure, steps, {
			[faultName.killBefore]: 'a kill is no graceful stop; the rows of requests have it',
			[faultName.killAfter]: 'a kill is no graceful stop; the rows of requests have it',
			[faultName.freezePastLease]: 'the lease is the authority\'s; its rows have it',
			[faultName.cutPeers]: 'the stop asks no peer',
			[faultName.cutOneWay]: 'the stop asks no peer',
			[faultName.cutPlatform]: 'the stop waits for claims a bounded time only: test of the claims',
			[faultName.platformDown]: 'the stop waits for claims a bounded time only: test of the claims',
			[faultName.platformSlow]: 'the stop waits for claims a bounded time only: test of the claims',
			[faultName.answerLost]: 'the stop writes nothing itself',
			[faultName.crossedAnswer]: 'the rows of requests have it',
			[faultName.lateLoad]: 'the stop reads no load',
			[faultName.operatorRace]: 'operators do not stop processes',
		}),
	];
}

/** A long request is in progress when the signal comes, and a short one comes during the balancer's wait. */
function createCell(step: string, fault: FaultName): Cell {
	return {
		point: pointName.gracefulStop,
		procedure,
		step,
		fault,
		mechanisms: ['wait for running requests'],
		async run(context) {
			const world = new StreamWorld();
			const history = new History(world.timers);
			const stop = new GracefulStop({timers: world.timers, history, balancerWaitMs});
			let lastTask = '';
			stop.addShutdownTask({
				name: taskName, async run() {
					lastTask = stop.countInProgress() === 0 ? 'after the last request' : 'too early';
				},
			});
			const first = startRequest(world, stop, {id: 'r1', count: size, context});
			await world.timers.advance(1000);
			const hooks = {
				onBefore: async (found: Step) => found.name === step ? applyFault(world, stop, fault) : undefined,
			};
			void stop.onSignal(hooks);
			await world.timers.advance(balancerWaitMs / 2);
			checkThat(stop.isAccepting, 'new requests were refused before the balancer knew');
			const second = startRequest(world, stop, {id: 'r2', count: 3, context});
			await waitForStop(world, stop);
			checkThat(first.isSettled && first.text === createAnswer('p', size), `the request in progress was cut after ${first.events.length} events`);
			checkThat(second.isSettled && second.text === createAnswer('p', 3), 'a request taken during the balancer\'s wait was cut');
			checkThat(lastTask === 'after the last request', 'the last task did not run after the last request');
			checkThat(!stop.isAccepting, 'a stopped entry takes requests');
			checkThat(!hasSecondSignal(fault) || history.list().some(({kind, detail}) => kind === 'waits' && detail !== ''), 'the second signal did not say what is waited for');
		},
	};
}

function hasSecondSignal(fault: FaultName): boolean {
	return fault === faultName.secondSignal || fault === faultName.pair;
}

async function applyFault(world: StreamWorld, stop: GracefulStop, fault: FaultName): Promise<void> {
	if (hasSecondSignal(fault)) {
		await stop.onSignal();
	}

	if (fault === faultName.engineCrash || fault === faultName.pair) {
		world.getEngine('e1').abortAll();
	}

	if (fault === faultName.silentConnection) {
		world.getEngine('e1').closeSilently();
	}

	if (fault === faultName.freeze) {
		await world.timers.sleep(freezeMs);
	}
}

type Request = {readonly id: string; readonly count: number; readonly context: CellContext};

function startRequest(world: StreamWorld, stop: GracefulStop, {id, count, context}: Request): CallerRecord {
	for (const engine of world.engines.values()) {
		engine.onToken = async () => world.timers.sleep(tokenMs);
	}

	const finish = context.without === 'wait for running requests' ? () => undefined : stop.startRequest('chat');
	const work = {...world.createWork(id, count), deadlineAt: world.timers.getNow() + 600_000};
	const record = world.start({request: work, prompt: 'p', offset: 0});
	void runAfter(world, record, finish);
	return record;
}

async function runAfter(world: StreamWorld, record: CallerRecord, finish: () => void): Promise<void> {
	while (!record.isSettled) {
		await world.timers.sleep(tokenMs);
	}

	finish();
}

async function waitForStop(world: StreamWorld, stop: GracefulStop): Promise<void> {
	for (let waited = 0; waited < 200 && stop.phase !== stopPhase.stopped; waited++) {
		await world.timers.advance(1000);
	}

	checkThat(stop.phase === stopPhase.stopped, `the stop ended as "${stop.phase}"`);
}

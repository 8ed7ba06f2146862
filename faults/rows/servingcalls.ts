import {Buffer} from 'node:buffer';
import {KeyPendingError} from '../../src/errors/index.js';
import type {Step} from '../../src/procedures/index.js';
import type {ClaimPort} from '../../src/serving/index.js';
import {CallWorld} from '../fakes/callworld.js';
import type {CallEntry, CallRecord} from '../fakes/callworld.js';
import {createServiceAnswer, serviceFault} from '../fakes/services.js';
import {faultName, pointName} from '../matrix.js';
import type {Cell, CellContext, FaultName} from '../matrix.js';
import {checkThat, listNotApplicable} from './servingcommon.js';

const procedure = 'serve a non-repeatable call';
const key = 'k';
const body = 'refund 7';
const freezeMs = 8000;
const slowMs = 400;
const pauseMs = 700;
const maxRepeats = 40;
const sendStep = 'send the call';
const steps = ['claim the key', 'choose an instance', 'open a live connection', sendStep, 'wait for the answer', 'settle the claim'];

/** What a fault does to the world when the first entry reaches the step. */
type Strike = (world: CallWorld) => Promise<void> | void;
type CallFault = {readonly fault: FaultName; readonly variant?: string; readonly apply: Strike; readonly isAfter?: boolean; readonly mechanisms?: readonly string[]};

const waitForEver: Strike = async () => {
	await new Promise<never>(() => {
		// A killed process goes on with nothing.
	});
};

const strikes: readonly CallFault[] = [
	{fault: faultName.killBefore, apply: waitForEver, mechanisms: ['claim before send']},
	{
		fault: faultName.killAfter, apply: waitForEver, isAfter: true, mechanisms: ['claim before send'],
	},
	{fault: faultName.freeze, apply: async world => world.timers.sleep(freezeMs)},
	{
		fault: faultName.freeze,
		variant: 'the VM is suspended',
		async apply(world) {
			world.timers.shiftWallTime(freezeMs);
		},
	},
	{
		fault: faultName.platformDown, async apply(world) {
			setStores(world, true);
			world.timers.startTimer(slowMs * 10, () => {
				setStores(world, false);
			});
		},
	},
	{
		fault: faultName.cutPlatform, apply(world) {
			world.first.store.isDown = true;
		},
	},
	{
		fault: faultName.platformSlow, apply(world) {
			world.first.store.delayMs = slowMs;
			world.second.store.delayMs = slowMs;
		},
	},
	{
		fault: faultName.answerLost, apply(world) {
			world.first.store.lostAnswers = 1;
		},
	},
	{
		fault: faultName.engineCrash, variant: 'the instance dies after the run', apply(world) {
			world.getService('s1').faults.push(serviceFault.answerLost);
		},
	},
	{
		fault: faultName.crossedAnswer, apply(world) {
			world.getService('s1').faults.push(serviceFault.foreign);
		},
	},
	{
		fault: faultName.pair, variant: 'killed, and the store is down for a while', async apply(world) {
			setStores(world, true);
			world.timers.startTimer(slowMs * 10, () => {
				setStores(world, false);
			});
			await waitForEver(world);
		},
	},
	{
		fault: faultName.pair, variant: 'the store\'s answer is lost, then the entry is killed', isAfter: true, async apply(world) {
			world.first.store.lostAnswers = 1;
			await waitForEver(world);
		},
	},
];

/** Lists the cells of calls that may not be repeated. */
export function listCallCells(): readonly Cell[] {
	return [
		...steps.flatMap(step => strikes.map(apply => createKeyedCell(step, apply))),
		...steps.slice(1, -1).flatMap(step => strikes.filter(({fault}) => fault !== faultName.pair).map(apply => createUnkeyedCell(step, apply))),
		createSilentCell(),
		createCloseCell(),
		createRaceCell(),
		...listNotApplicable(procedure, steps, {
			[faultName.freezePastLease]: 'a call holds no lease; its claim\'s deadline is met by the freezes',
			[faultName.cutPeers]: 'only a relayed call meets it, as a connection that breaks: tests over HTTP',
			[faultName.cutOneWay]: 'a connection cut one way is silent',
			[faultName.lateLoad]: 'loads are read by routing, not by serving',
			[faultName.operatorRace]: 'operators do not touch calls',
			[faultName.secondSignal]: 'signals meet the graceful stop',
		}),
	];
}

/** The caller repeats its key through the other entry until it knows. */
function createKeyedCell(step: string, {fault, variant, apply, isAfter = false, mechanisms}: CallFault): Cell {
	return {
		point: pointName.atMostOnce,
		procedure,
		step: variant === undefined ? step : `${step} (${variant})`,
		fault,
		mechanisms: isSentBefore(step, isAfter) ? mechanisms : [],
		async run(context) {
			const world = new CallWorld();
			const hooks = createHooks(step, isAfter, async () => apply(world));
			const first = world.first.start({key, hooks, claims: createClaims(world.first, context)});
			await world.timers.advance(context.seed * 37);
			await runRepeats(world, context);
			await world.settle(first, freezeMs * 2);
			checkTold(world, first);
			checkThat(world.runs.length <= 1, `the call ran ${world.runs.length} times`);
		},
	};
}

/** Whether the call is on its way when the step is struck; before that a kill loses nothing. */
function isSentBefore(step: string, isAfter: boolean): boolean {
	const index = steps.indexOf(step);
	const sent = steps.indexOf(sendStep);
	return isAfter ? index >= sent : index > sent;
}

function createUnkeyedCell(step: string, {fault, variant, apply, isAfter = false}: CallFault): Cell {
	return {
		point: pointName.notRun,
		procedure,
		step: `${step} (no key${variant === undefined ? '' : `, ${variant}`})`,
		fault,
		async run() {
			const world = new CallWorld();
			const record = await world.settle(world.first.start({hooks: createHooks(step, isAfter, async () => apply(world))}));
			checkTold(world, record);
			checkThat(world.runs.length <= 1, `the call ran ${world.runs.length} times`);
		},
	};
}

/** The pooled connections have gone silent; new ones work. */
function createSilentCell(): Cell {
	return {
		point: pointName.atMostOnce,
		procedure,
		step: sendStep,
		fault: faultName.silentConnection,
		mechanisms: ['live connection check'],
		async run(context) {
			const world = new CallWorld();
			for (const service of world.services.values()) {
				service.silentPooled = 1 + (context.seed % 3);
				service.isUnprobed = context.without === 'live connection check';
			}

			const record = await world.settle(world.first.start({key}));
			checkThat(record.outcome?.kind === 'done', `the outcome is ${record.outcome?.kind ?? 'none'}`);
			checkThat(world.runs.length === 1, `the call ran ${world.runs.length} times`);
		},
	};
}

/** The instance closes while the entry is frozen between its choice and the send. */
function createCloseCell(): Cell {
	return {
		point: pointName.leaving,
		procedure,
		step: 'send the call (the instance closes meanwhile)',
		fault: faultName.freeze,
		mechanisms: ['isOpen recheck'],
		async run(context) {
			const world = new CallWorld();
			world.first.publish('s2', 'closing', 1);
			if (context.without === 'isOpen recheck') {
				world.first.router.isAvailable = () => true;
			}

			const hooks = createHooks(sendStep, false, async () => {
				await world.timers.sleep(1000);
				world.first.publish('s1', 'closing', 1);
			});
			const record = await world.settle(world.first.start({key, hooks}));
			checkThat(record.outcome?.kind === 'not_run', `the outcome is ${record.outcome?.kind ?? 'none'}`);
			checkThat(world.runs.length === 0, 'the closed instance got new work');
		},
	};
}

/** The same key comes through two entries at once. */
function createRaceCell(): Cell {
	return {
		point: pointName.atMostOnce,
		procedure,
		step: 'claim the key (through two entries at once)',
		fault: faultName.pair,
		mechanisms: ['claim before send'],
		async run(context) {
			const world = new CallWorld();
			world.first.store.delayMs = context.seed % 7;
			const records = [world.first, world.second].map(entry => entry.start({key, claims: createClaims(entry, context)}));
			await Promise.all(records.map(async record => world.settle(record)));
			checkThat(world.runs.length === 1, `the call ran ${world.runs.length} times`);
		},
	};
}

async function runRepeats(world: CallWorld, context: CellContext): Promise<void> {
	for (let repeat = 0; repeat < maxRepeats; repeat++) {
		const record = await world.settle(world.second.start({key, claims: createClaims(world.second, context)}));
		checkTold(world, record);
		if (record.outcome && record.outcome.kind !== 'not_run') {
			return;
		}

		await world.timers.advance(pauseMs);
	}

	throw new RangeError(`the caller knew nothing after ${maxRepeats} repeats`);
}

/** What the caller was told of a request has to be what the service's journal says of that request. */
function checkTold(world: CallWorld, {id, outcome, error, isSettled}: CallRecord): void {
	if (!isSettled) {
		return;
	}

	checkThat(error === undefined || error instanceof KeyPendingError, `failed: ${String(error)}`);
	if (outcome?.kind === 'not_run') {
		checkThat(world.runs.every(run => run.id !== id), '"not run" was told and it had run');
	}

	if (outcome?.kind === 'done') {
		checkThat(Buffer.from(outcome.answer.body).toString() === createServiceAnswer(body, 1), 'another answer than the run\'s');
	}
}

function createClaims(entry: CallEntry, {without}: CellContext): ClaimPort {
	if (without !== 'claim before send') {
		return entry.claims;
	}

	return {
		async take() {
			return {
				decision: {result: 'taken'},
				claim: {
					key, call: '', token: '', due: Number.POSITIVE_INFINITY, until: 0, bucketIndex: 0,
				},
			};
		},
		async settle() {
			// Nothing is kept.
		},
	};
}

function createHooks(step: string, isAfter: boolean, apply: () => Promise<void> | void) {
	let isStruck = false;
	const onStep = async (found: Step) => {
		if (found.name === step && !isStruck) {
			isStruck = true;
			await apply();
		}
	};

	return isAfter ? {onAfter: onStep} : {onBefore: onStep};
}

function setStores(world: CallWorld, isDown: boolean): void {
	world.first.store.isDown = isDown;
	world.second.store.isDown = isDown;
}

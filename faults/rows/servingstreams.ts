import {upstreamState} from '../../src/feed/index.js';
import type {Step, StepHooks} from '../../src/procedures/index.js';
import {AnswerCheck} from '../../src/serving/index.js';
import type {StreamDependencies} from '../../src/serving/index.js';
import type {GenerateEvent} from '../../src/upstreams/index.js';
import {createAnswer, engineFault} from '../fakes/streams.js';
import type {EngineFault, FakeEngine} from '../fakes/streams.js';
import {createUpstream, StreamWorld} from '../fakes/streamworld.js';
import type {CallerRecord} from '../fakes/streamworld.js';
import {faultName, pointName} from '../matrix.js';
import type {Cell, CellContext, FaultName} from '../matrix.js';
import {checkThat, listNotApplicable} from './servingcommon.js';

const procedure = 'serve a streamed request';
const size = 12;
const tokenMs = 20;
const freezeMs = 5000;
const longLimitMs = 1_000_000;
const kvSteps = ['export the KV cache', 'import the KV cache'];
const cancelStep = 'cancel at the engine';
const askStep = 'ask the engine whether it answers';
const waitStep = 'wait for an engine';
const streamingSteps = new Set(['read events', 'pass the events on']);
const steps = ['choose a placement', ...kvSteps, 'send the request', 'read events', 'pass the events on', cancelStep, askStep, waitStep];

/** What a fault does to the world when the step is reached; `isStreaming` says whether the engine is sending an answer. */
type Strike = (world: StreamWorld, engine: FakeEngine, isStreaming: boolean) => Promise<void> | void;

type StreamFault = {readonly fault: FaultName; readonly variant?: string; readonly apply: Strike; readonly mechanism?: string};

const strikes: readonly StreamFault[] = [
	{fault: faultName.freeze, apply: async world => world.timers.sleep(freezeMs)},
	{
		fault: faultName.engineCrash,
		apply(_world, engine, isStreaming) {
			if (isStreaming) {
				engine.abortAll();
			} else {
				engine.faults.unshift({fault: engineFault.connectFails, at: 0});
			}
		},
	},
	createAnswerFault(faultName.engineCrash, engineFault.noEnd, 'end marker check'),
	createAnswerFault(faultName.crossedAnswer, engineFault.foreign, 'offset check'),
	createAnswerFault(faultName.crossedAnswer, engineFault.gap, 'offset check'),
	createAnswerFault(faultName.crossedAnswer, engineFault.late, 'offset check'),
	{fault: faultName.silentConnection, apply: applySilence, mechanism: 'silence limit'},
	{
		fault: faultName.pair,
		variant: 'silence, then a crash of the other engine',
		mechanism: 'silence limit',
		apply(world, engine, isStreaming) {
			applySilence(world, engine, isStreaming);
			world.getEngine('e2').faults.push({fault: engineFault.breaks, at: 1});
		},
	},
];

function applySilence(_world: StreamWorld, engine: FakeEngine, isStreaming: boolean): void {
	if (isStreaming) {
		engine.closeSilently();
	} else {
		engine.faults.unshift({fault: engineFault.silent, at: 0});
	}
}

/** A fault of the answer that is being sent, or of the next one from its second token on. */
function createAnswerFault(fault: FaultName, variant: EngineFault, mechanism: string): StreamFault {
	return {
		fault,
		variant,
		mechanism,
		apply(_world, engine, isStreaming) {
			if (isStreaming) {
				engine.nextFault = variant;
			} else {
				engine.faults.unshift({fault: variant, at: 1});
			}
		},
	};
}

/** Lists the cells of streamed requests. */
export function listStreamCells(): readonly Cell[] {
	return [
		...steps.flatMap(step => [
			...strikes.map(apply => createStrikeCell(step, apply)),
			createKillCell(step, faultName.killBefore),
			createKillCell(step, faultName.killAfter),
		]),
		createCloseCell(),
		...listNotApplicable(procedure, steps, {
			[faultName.freezePastLease]: 'a request holds no lease',
			[faultName.cutPeers]: 'a relayed stream is a connection that breaks or goes silent, as an engine\'s',
			[faultName.cutOneWay]: 'a connection cut one way goes silent',
			[faultName.cutPlatform]: 'a stream makes no call of the platform',
			[faultName.platformDown]: 'a stream makes no call of the platform',
			[faultName.platformSlow]: 'a stream makes no call of the platform',
			[faultName.answerLost]: 'a stream writes nothing to the store',
			[faultName.lateLoad]: 'loads are read by routing, not by serving',
			[faultName.operatorRace]: 'operators do not touch requests',
			[faultName.secondSignal]: 'signals meet the graceful stop',
		}),
	];
}

function createStrikeCell(step: string, {fault, variant, apply, mechanism}: StreamFault): Cell {
	return {
		point: pointName.wholeAnswer,
		procedure,
		step: variant === undefined ? step : `${step} (${variant})`,
		fault,
		mechanisms: mechanism === undefined ? [] : [mechanism],
		async run(context) {
			const world = createWorld(step);
			// A request that is cancelled at the first engine goes on at the second.
			const engine = world.getEngine(step === cancelStep ? 'e2' : 'e1');
			const hooks = createHooks(step, context, async () => apply(world, engine, streamingSteps.has(step)));
			const record = await world.settle(startRequest(world, context, {hooks}));
			checkWhole(record);
			checkBooks(world);
		},
	};
}

/** The entry is killed; its caller comes back to another one with the last event that it has. */
function createKillCell(step: string, fault: FaultName): Cell {
	return {
		point: pointName.wholeAnswer,
		procedure,
		step,
		fault,
		async run(context) {
			const world = createWorld(step);
			const waitForEver = async () => {
				await new Promise<never>(() => {
					// A killed process goes on with nothing.
				});
			};

			const hooks = fault === faultName.killBefore ? createHooks(step, context, waitForEver) : createAfterHooks(step, context, waitForEver);
			const killed = startRequest(world, context, {hooks});
			await world.timers.advance(2000);
			checkThat(!killed.isSettled, `the step "${step}" was not reached`);
			const offset = killed.events.length;
			const held = offset > 0 ? {upstream: createUpstream('e1')} : undefined;
			const rest = await world.settle(startRequest(world, context, {offset, held}));
			checkThat(killed.text + rest.text === createAnswer('p', size), `got "${killed.text}" and "${rest.text}"`);
			checkThat(rest.end !== undefined, 'no end marker');
		},
	};
}

/** The engine closes while the entry is frozen between its choice and the send. */
function createCloseCell(): Cell {
	return {
		point: pointName.leaving,
		procedure,
		step: 'send the request (the engine closes meanwhile)',
		fault: faultName.freeze,
		mechanisms: ['isOpen recheck'],
		async run(context) {
			const world = createWorld('');
			if (context.without === 'isOpen recheck') {
				world.router.isAvailable = () => true;
			}

			const hooks = createHooks('send the request', context, async () => {
				await world.timers.sleep(freezeMs);
				world.publish('e1', upstreamState.closing);
			});
			const record = await world.settle(startRequest(world, context, {hooks}));
			checkWhole(record);
			checkThat(world.getEngine('e1').countStarted() === 0, 'the closed engine got new work');
		},
	};
}

function createWorld(step: string): StreamWorld {
	const world = new StreamWorld();
	for (const engine of world.engines.values()) {
		engine.onToken = async () => world.timers.sleep(tokenMs);
	}

	if (kvSteps.includes(step)) {
		world.router.prefill = createUpstream('e2');
	}

	if (step === askStep) {
		world.getEngine('e1').faults.push({fault: engineFault.silent, at: 3});
	}

	if (step === waitStep) {
		for (const engine of world.engines.values()) {
			engine.faults.push({fault: engineFault.breaks, at: 1}, {fault: engineFault.breaks, at: 1});
		}
	}

	if (step === cancelStep) {
		world.getEngine('e1').faults.push({fault: engineFault.breaks, at: 3}, {fault: engineFault.breaks, at: 2});
	}

	return world;
}

type Start = {readonly hooks?: StepHooks; readonly offset?: number; readonly held?: {readonly upstream: ReturnType<typeof createUpstream>}};

function startRequest(world: StreamWorld, context: CellContext, {hooks, offset = 0, held}: Start): CallerRecord {
	const work = world.createWork('r', size);
	return world.start({
		request: work, prompt: 'p', offset, resumePlacement: held,
	}, hooks, createChanges(world, context));
}

/** Takes the named mechanism out. */
function createChanges(world: StreamWorld, {without}: CellContext): Partial<StreamDependencies> {
	if (without === 'offset check') {
		return {createCheck: (id, offset) => new NoCheck(id, offset)};
	}

	if (without === 'silence limit') {
		return {getTimeouts: () => ({firstEventTimeoutMs: longLimitMs, betweenEventsTimeoutMs: longLimitMs})};
	}

	if (without === 'end marker check') {
		for (const engine of world.engines.values()) {
			engine.isEndForged = true;
		}
	}

	return {};
}

/** Strikes at the visit of the step that the seed picks. */
function createHooks(step: string, {seed}: CellContext, apply: () => Promise<void> | void): StepHooks {
	return {onBefore: createVisit(step, seed, apply)};
}

function createAfterHooks(step: string, {seed}: CellContext, apply: () => Promise<void> | void): StepHooks {
	return {onAfter: createVisit(step, seed, apply)};
}

function createVisit(step: string, seed: number, apply: () => Promise<void> | void): (found: Step) => Promise<void> {
	// Struck after the first token at the earliest.
	let left = streamingSteps.has(step) ? 1 + (seed % 8) : 0;
	return async found => {
		if (found.name !== step) {
			return;
		}

		if (left === 0) {
			left--;
			await apply();
		} else {
			left--;
		}
	};
}

function checkWhole(record: CallerRecord): void {
	checkThat(record.error === undefined, `failed: ${String(record.error)}`);
	checkThat(record.text === createAnswer('p', size), `got "${record.text}"`);
	checkThat(record.end !== undefined, 'no end marker');
}

function checkBooks(world: StreamWorld): void {
	checkThat([...world.engines.values()].every(({open}) => open === 0), 'an answer was never let go of');
	checkThat(world.router.ends.length === world.router.sent, `${world.router.sent} sends and ${world.router.ends.length} ends`);
	checkThat(world.router.countInFlight('e1') + world.router.countInFlight('e2') === 0, 'requests are still counted as running');
}

/** Passes everything on. */
class NoCheck extends AnswerCheck {
	override selectNext(events: readonly GenerateEvent[]): readonly GenerateEvent[] {
		this.offset += events.length;
		return events;
	}
}

import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {RandomSource} from '../src/rates/index.js';
import {runCaller, runCrashingCaller, runProbes} from './callers.js';
import {
	pickDeparture, pickEndlessFault, pickEngineFault, pickFault, pickGarbled, pickLimit, pickReplacedStore, pickSilence, pickUntrueEnd,
} from './faults.js';
import type {SoakFault} from './faults.js';
import {InvariantChecker} from './invariantchecker.js';
import type {StartedFault} from './invariantchecker.js';
import type {RunShape} from './world.js';
import {defaultVmCount, pickShape, SoakWorld} from './world.js';

/** Concurrent callers; together they send a few hundred requests a second. */
const callerCount = 10;
/** Bounds of the pause between the starts of two faults, in milliseconds; shorter than most faults last, so that faults overlap. */
const minPauseMs = 100;
const maxPauseMs = 900;
/** Time to recover after the last fault, in milliseconds: enough for a process to stop and start again and for a lease to expire. */
const recoveryMs = 9000;
/** Time after the recovery in which requests have to succeed, in milliseconds. */
const recoveryCheckMs = 1500;
/** A quarter of the time that calls in progress get to end when the run is over, in milliseconds. */
const lastCallsMs = 2000;
const checkIntervalMs = 250;
/** Interval of the timer that shows whether this process is held up, and the shortest delay that counts, in milliseconds. */
const beatIntervalMs = 20;
const minStallMs = 100;
/** Distance of the seed that decides when the store comes back from a copy from the seed of the other faults. */
const storeSeedOffset = 1_000_000;
/** The same for the seed that decides when engines leave, ask for a pause or frame answers otherwise. */
const engineSeedOffset = 2_000_000;
/** The same for the seed that decides when engines send bytes without end. */
const endlessSeedOffset = 3_000_000;
/** The same for the seed that decides when engines name limits. */
const limitSeedOffset = 4_000_000;
/** The same for the seed that decides when engines fall silent. */
const silenceSeedOffset = 5_000_000;
/** The same for the seed that decides the shape of the run. */
const shapeSeedOffset = 6_000_000;
/** The same for wrong bytes and odd entries. */
const garbledSeedOffset = 7_000_000;
/** The same for answers whose status or end says what isn't so. */
const untrueEndSeedOffset = 8_000_000;
/** The same for engines that depart. */
const departureSeedOffset = 9_000_000;
/** Longest time from the close of a process's connections until its `exit` event arrives here, in milliseconds. */
const exitReportDelayMs = 1000;

/** Result of a soak run. */
export type SoakReport = {
	readonly seed: number;
	readonly shape: RunShape;
	/** Guarantees that did not hold, one message each; empty if the run passed. */
	readonly violations: readonly string[];
	/** Injected faults, each with its start, in milliseconds since faults began, and its duration. */
	readonly faults: readonly string[];
	readonly calls: number;
	/** Engines that crashed on requests. */
	readonly crashes: number;
	/** Calls that got a complete answer with status 200. */
	readonly answered: number;
};

/**
Runs real entry processes against stand-ins of the store and the engines, injects faults for `seconds`, and checks the guarantees
to callers and operators meanwhile and afterwards. The seed decides which faults come and when, for the same number of VMs.
*/
export async function runSoak(seed: number, seconds: number, vmCount = defaultVmCount): Promise<SoakReport> {
	const random = new RandomSource(seed);
	const exitHook: {checker?: InvariantChecker} = {};
	const world = new SoakWorld(pickShape(new RandomSource(seed + shapeSeedOffset)), (vm, incarnation) => {
		exitHook.checker?.onExit(vm, incarnation);
	}, vmCount);
	const checker = new InvariantChecker(world);
	exitHook.checker = checker;
	try {
		await world.start();
		const startedAt = performance.now();
		checker.startedAt = startedAt;
		const runState = {hasEnded: false};
		const hasEnded = () => runState.hasEnded;
		const checkTimer = setInterval(() => {
			checker.checkEndings(performance.now() - exitReportDelayMs);
		}, checkIntervalMs);
		let lastBeatAt = performance.now();
		const beatTimer = setInterval(() => {
			const now = performance.now();
			if (now > lastBeatAt + minStallMs) {
				checker.ownStalls.push({from: lastBeatAt, to: now});
			}

			lastBeatAt = now;
		}, beatIntervalMs);
		const endlessRandom = new RandomSource(seed + endlessSeedOffset);
		// Requests that crash engines come in every second run.
		const crashingState = {hasEnded: seed % 2 !== 0};
		const activities = [
			runCrashingCaller(world, new RandomSource(seed + endlessSeedOffset + 1), call => {
				checker.onCall(call);
			}, () => crashingState.hasEnded),
			...Array.from({length: callerCount}, async (_, index) => runCaller(world, new RandomSource(seed + index + 1), call => {
				checker.onCall(call);
			}, hasEnded)),
			runProbes(world, (version, call) => {
				checker.onProbe(version, call);
			}, hasEnded),
		];
		await startFaults(world, checker, {
			random, storeRandom: new RandomSource(seed + storeSeedOffset), engineRandom: new RandomSource(seed + engineSeedOffset), endlessRandom, limitRandom: new RandomSource(seed + limitSeedOffset), silenceRandom: new RandomSource(seed + silenceSeedOffset), garbledRandom: new RandomSource(seed + garbledSeedOffset), untrueEndRandom: new RandomSource(seed + untrueEndSeedOffset), departureRandom: new RandomSource(seed + departureSeedOffset),
		}, seconds * 1000);
		await sleep(recoveryMs);
		crashingState.hasEnded = true;
		const recoveredAt = performance.now();
		await sleep(recoveryCheckMs);
		runState.hasEnded = true;
		await Promise.race([Promise.all(activities), sleep(lastCallsMs * 4)]);
		clearInterval(checkTimer);
		clearInterval(beatTimer);
		checker.checkRecovered(recoveredAt);
		checker.checkFinal();
		return {
			seed,
			shape: world.shape,
			violations: checker.violations,
			faults: checker.faults.map(({fault, startedAt: faultStartedAt}) => `${Math.round(faultStartedAt - startedAt)} ms ${fault.name} for ${Math.round(fault.durationMs)} ms`),
			crashes: world.crashes.length,
			calls: checker.calls.length,
			answered: checker.calls.filter(({isComplete, status}) => isComplete && status === 200).length,
		};
	} finally {
		exitHook.checker = undefined;
		await world.close();
	}
}

type FaultSources = {readonly random: RandomSource; readonly storeRandom: RandomSource; readonly engineRandom: RandomSource; readonly endlessRandom: RandomSource; readonly limitRandom: RandomSource; readonly silenceRandom: RandomSource; readonly garbledRandom: RandomSource; readonly untrueEndRandom: RandomSource; readonly departureRandom: RandomSource};

/** Injects faults for `durationMs` and ends each when its time is up; returns when all have ended. */
async function startFaults(world: SoakWorld, checker: InvariantChecker, {
	random, storeRandom, engineRandom, endlessRandom, limitRandom, silenceRandom, garbledRandom, untrueEndRandom, departureRandom,
}: FaultSources, durationMs: number): Promise<void> {
	const startedAt = performance.now();
	const endings: Array<Promise<void>> = [];
	const startFault = async (fault: SoakFault) => {
		const started: StartedFault = {fault, startedAt: performance.now(), endedAt: Number.POSITIVE_INFINITY};
		checker.faults.push(started);
		await started.fault.start(world);
		endings.push(endFault(world, started));
	};

	while (performance.now() - startedAt < durationMs) {
		await sleep(random.pickBetween(minPauseMs, maxPauseMs));
		await startFault(pickFault(world, random));
		for (const further of [pickReplacedStore(storeRandom), pickEngineFault(world, engineRandom), pickEndlessFault(world, endlessRandom), pickLimit(world, limitRandom), pickSilence(world, silenceRandom), pickGarbled(world, garbledRandom), pickUntrueEnd(world, untrueEndRandom), ...pickDeparture(world, departureRandom)]) {
			if (further) {
				await startFault(further);
			}
		}
	}

	await Promise.all(endings);
}

async function endFault(world: SoakWorld, started: StartedFault): Promise<void> {
	await sleep(started.fault.durationMs);
	await started.fault.close(world);
	started.endedAt = performance.now();
}

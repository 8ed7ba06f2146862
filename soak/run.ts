import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {RandomSource} from '../src/rates/index.js';
import {runCaller, runProbes} from './callers.js';
import {pickFault} from './faults.js';
import {InvariantChecker} from './invariantchecker.js';
import type {StartedFault} from './invariantchecker.js';
import {SoakWorld} from './world.js';

/** Callers that send at the same time: some hundred requests a second in all. */
const callerCount = 10;
/** Pause between two faults, in milliseconds: shorter than most last, so that they overlap. */
const minPauseMs = 100;
const maxPauseMs = 900;
/** Time for everything to come back after the last fault, in milliseconds: a stop, a start and a lease that lapses. */
const recoveryMs = 9000;
/** Time in which requests are checked after that, in milliseconds. */
const recoveryCheckMs = 1500;
/** Time for calls to end, in milliseconds. */
const lastCallsMs = 2000;
const checkIntervalMs = 250;
/** Time from the close of a process's connections until its end is told here, in milliseconds. */
const exitReportDelayMs = 1000;

/** What a run showed. */
export type SoakReport = {
	readonly seed: number;
	readonly violations: readonly string[];
	/** Faults with the time at which each was started, in milliseconds from the first. */
	readonly faults: readonly string[];
	readonly calls: number;
	readonly answered: number;
};

/** Runs real entries before the stand-ins for so many seconds of faults, and checks the promises. */
export async function runSoak(seed: number, seconds: number): Promise<SoakReport> {
	const random = new RandomSource(seed);
	const exitHook: {checker?: InvariantChecker} = {};
	const world = new SoakWorld((vm, incarnation) => {
		exitHook.checker?.onExit(vm, incarnation);
	});
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
		const activities = [
			...Array.from({length: callerCount}, async (_, index) => runCaller(world, new RandomSource(seed + index + 1), call => {
				checker.onCall(call);
			}, hasEnded)),
			runProbes(world, (version, call) => {
				checker.onProbe(version, call);
			}, hasEnded),
		];
		await startFaults(world, checker, random, seconds * 1000);
		await sleep(recoveryMs);
		const recoveredAt = performance.now();
		await sleep(recoveryCheckMs);
		runState.hasEnded = true;
		await Promise.race([Promise.all(activities), sleep(lastCallsMs * 4)]);
		clearInterval(checkTimer);
		checker.checkRecovered(recoveredAt);
		checker.checkFinal();
		return {
			seed,
			violations: checker.violations,
			faults: checker.faults.map(({fault, startedAt: at}) => `${Math.round(at - startedAt)} ms ${fault.name} for ${Math.round(fault.durationMs)} ms`),
			calls: checker.calls.length,
			answered: checker.calls.filter(({isComplete, status}) => isComplete && status === 200).length,
		};
	} finally {
		exitHook.checker = undefined;
		await world.close();
	}
}

/** Starts one fault after another and ends each in its time; returns when all have ended. */
async function startFaults(world: SoakWorld, checker: InvariantChecker, random: RandomSource, durationMs: number): Promise<void> {
	const startedAt = performance.now();
	const endings: Array<Promise<void>> = [];
	while (performance.now() - startedAt < durationMs) {
		await sleep(random.pickBetween(minPauseMs, maxPauseMs));
		const started: StartedFault = {fault: pickFault(world, random), startedAt: performance.now(), endedAt: Number.POSITIVE_INFINITY};
		checker.faults.push(started);
		await started.fault.start(world);
		endings.push(endFault(world, started));
	}

	await Promise.all(endings);
}

async function endFault(world: SoakWorld, started: StartedFault): Promise<void> {
	await sleep(started.fault.durationMs);
	await started.fault.close(world);
	started.endedAt = performance.now();
}

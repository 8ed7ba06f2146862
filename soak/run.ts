import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {RandomSource} from '../src/rates/index.js';
import {runCaller, runProbes} from './callers.js';
import {pickFault} from './faults.js';
import {Judge} from './judge.js';
import type {StartedFault} from './judge.js';
import {SoakWorld} from './world.js';

/** Callers that send at the same time: some hundred requests a second in all. */
const callers = 10;
/** Pause between two faults, in milliseconds: shorter than most last, so that they overlap. */
const leastPauseMs = 100;
const longestPauseMs = 900;
/** Time for everything to come back after the last fault, in milliseconds: a stop, a start and a lease that lapses. */
const settleMs = 9000;
/** Time in which requests are checked after that, in milliseconds. */
const recoveredMs = 1500;
/** Time for calls to end, in milliseconds. */
const lastCallsMs = 2000;
const lookMs = 250;
/** Time from the close of a process's connections until its end is told here, in milliseconds. */
const exitToldMs = 1000;

/** What a run showed. */
export type SoakReport = {
	readonly seed: number;
	readonly broken: readonly string[];
	/** Faults with the time at which each was started, in milliseconds from the first. */
	readonly faults: readonly string[];
	readonly calls: number;
	readonly answered: number;
};

/** Runs real entries before the stand-ins for so many seconds of faults, and checks the promises. */
export async function runSoak(seed: number, seconds: number): Promise<SoakReport> {
	const random = new RandomSource(seed);
	const exits: {judge?: Judge} = {};
	const world = new SoakWorld((vm, life) => {
		exits.judge?.onExit(vm, life);
	});
	const judge = new Judge(world);
	exits.judge = judge;
	try {
		await world.start();
		const startedAt = performance.now();
		judge.startedAt = startedAt;
		const run = {isOver: false};
		const isOver = () => run.isOver;
		const looks = setInterval(() => {
			judge.checkEndings(performance.now() - exitToldMs);
		}, lookMs);
		const working = [
			...Array.from({length: callers}, async (_, index) => runCaller(world, new RandomSource(seed + index + 1), call => {
				judge.onCall(call);
			}, isOver)),
			runProbes(world, (version, call) => {
				judge.onProbe(version, call);
			}, isOver),
		];
		await startFaults(world, judge, random, seconds * 1000);
		await sleep(settleMs);
		const settledAt = performance.now();
		await sleep(recoveredMs);
		run.isOver = true;
		await Promise.race([Promise.all(working), sleep(lastCallsMs * 4)]);
		clearInterval(looks);
		judge.checkRecovered(settledAt);
		judge.checkWhole();
		return {
			seed,
			broken: judge.broken,
			faults: judge.faults.map(({fault, at}) => `${Math.round(at - startedAt)} ms ${fault.name} for ${Math.round(fault.lastsMs)} ms`),
			calls: judge.calls.length,
			answered: judge.calls.filter(({isWhole, status}) => isWhole && status === 200).length,
		};
	} finally {
		exits.judge = undefined;
		await world.close();
	}
}

/** Starts one fault after another and ends each in its time; returns when all have ended. */
async function startFaults(world: SoakWorld, judge: Judge, random: RandomSource, forMs: number): Promise<void> {
	const startedAt = performance.now();
	const endings: Array<Promise<void>> = [];
	while (performance.now() - startedAt < forMs) {
		await sleep(random.pickBetween(leastPauseMs, longestPauseMs));
		const started: StartedFault = {fault: pickFault(world, random), at: performance.now(), endedAt: Number.POSITIVE_INFINITY};
		judge.faults.push(started);
		await started.fault.start(world);
		endings.push(endFault(world, started));
	}

	await Promise.all(endings);
}

async function endFault(world: SoakWorld, started: StartedFault): Promise<void> {
	await sleep(started.fault.lastsMs);
	await started.fault.close(world);
	started.endedAt = performance.now();
}

#!/usr/bin/env node
import {CallerLimiter} from '../src/fairness/index.js';
import {RandomSource} from '../src/rates/index.js';
import {ManualTimers} from '../src/timers/index.js';

/**
Compares two algorithms that limit a caller's request rate, a token bucket and a halving counter,
on simulated arrivals with fixed seeds: `node dist/bench/limits.js`.
*/
const limitPerSecond = 20;
const durationSeconds = 120;
const seedCount = 5;

type TryAdmit = (now: number) => boolean;

/** Creates the token bucket that entries limit callers with. */
function createTokenBucket(timers: ManualTimers): TryAdmit {
	const limiter = new CallerLimiter(timers);
	return () => limiter.tryTake('caller', 1, {requestsPerSecond: limitPerSecond, tokensPerSecond: 1e9}, 1).isWithinLimits;
}

/** Creates a counter that is halved every second; a request is refused with probability `1 - limit / (counter * ln 2)`. */
function createHalvingCounter(random: RandomSource): TryAdmit {
	let counter = 0;
	let halvedAt = 0;
	return now => {
		while (now - halvedAt >= 1000) {
			counter /= 2;
			halvedAt += 1000;
		}

		counter++;
		return random.getRandom() < limitPerSecond / (counter * Math.LN2);
	};
}

/** `factor` is the mean request rate as a multiple of the limit; bursty traffic sends all requests in the first two of every ten seconds. */
const trafficPatterns = [
	{name: 'half the limit, steady', factor: 0.5, isBursty: false},
	{name: '0.9 of the limit, steady', factor: 0.9, isBursty: false},
	{name: 'half the limit, in bursts', factor: 0.5, isBursty: true},
	{name: 'three times the limit, steady', factor: 3, isBursty: false},
	{name: 'three times the limit, in bursts', factor: 3, isBursty: true},
] as const;

console.log('| traffic | way | admitted of the limit | wrongly refused | highest second of the limit |');
console.log('| --- | --- | --- | --- | --- |');
for (const traffic of trafficPatterns) {
	for (const algorithm of ['bucket', 'halving'] as const) {
		const sums = {admitted: 0, offered: 0, peakPerSecond: 0};
		for (let seed = 1; seed <= seedCount; seed++) {
			const result = await measureAlgorithm(traffic, algorithm, seed);
			sums.admitted += result.admitted / seedCount;
			sums.offered += result.offered / seedCount;
			sums.peakPerSecond += result.peakPerSecond / seedCount;
		}

		const allowedCount = Math.min(sums.offered, limitPerSecond * durationSeconds);
		const wronglyRefusedShare = Math.max(0, allowedCount - sums.admitted) / allowedCount;
		const cells = [traffic.name, algorithm, (sums.admitted / limitPerSecond / durationSeconds).toFixed(2), wronglyRefusedShare.toFixed(3), (sums.peakPerSecond / limitPerSecond).toFixed(2)];
		console.log(`| ${cells.join(' | ')} |`);
	}
}

async function measureAlgorithm(traffic: (typeof trafficPatterns)[number], algorithm: 'bucket' | 'halving', seed: number) {
	const timers = new ManualTimers();
	const random = new RandomSource(seed);
	const tryAdmit = algorithm === 'bucket' ? createTokenBucket(timers) : createHalvingCounter(random);
	const counts = new Map<number, number>();
	let offered = 0;
	let admitted = 0;
	let now = 0;
	while (now < durationSeconds * 1000) {
		const second = Math.floor(now / 1000);
		const isQuiet = traffic.isBursty && second % 10 >= 2;
		if (isQuiet) {
			now = (second + 1) * 1000;
			continue;
		}

		const rate = limitPerSecond * traffic.factor * (traffic.isBursty ? 5 : 1);
		now += -Math.log(1 - random.getRandom()) * 1000 / rate;
		await timers.advance(Math.max(0, now - timers.getNow()));
		offered++;
		if (tryAdmit(now)) {
			admitted++;
			counts.set(second, (counts.get(second) ?? 0) + 1);
		}
	}

	return {offered, admitted, peakPerSecond: Math.max(...counts.values())};
}

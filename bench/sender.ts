import {Buffer} from 'node:buffer';
import {performance} from 'node:perf_hooks';
import {Pool} from 'undici';

/** What one way of sending gave. */
export type SendFigures = {
	/** Median and 99th percentile of the time to the first byte of the body, in milliseconds. */
	readonly firstMedianMs: number;
	readonly firstTailMs: number;
	/** The same of the time to the end. */
	readonly wholeMedianMs: number;
	readonly wholeTailMs: number;
	readonly requestsPerSecond: number;
	readonly tokensPerSecond: number;
	readonly failed: number;
};

/** One way to send a request. */
export type Sending = {
	readonly origin: string;
	readonly path: string;
	/** Makes the body of the request of an index. */
	readonly createBody: (index: number) => unknown;
	readonly count: number;
	readonly inFlight: number;
};

const callers = 50;
const medianShare = 0.5;
const tailShare = 0.99;

/** Sends requests and reads every answer to its end. */
export async function measureSending(sending: Sending): Promise<SendFigures> {
	const pool = new Pool(sending.origin, {connections: sending.inFlight, headersTimeout: 0, bodyTimeout: 0});
	const firsts: number[] = [];
	const wholes: number[] = [];
	let tokens = 0;
	let failed = 0;
	let next = 0;
	const runNext = async () => {
		while (next < sending.count) {
			const index = next++;
			const start = performance.now();
			const response = await pool.request({
				method: 'POST',
				path: sending.path,
				headers: {'content-type': 'application/json', authorization: `Bearer caller-${index % callers}`},
				body: Buffer.from(JSON.stringify(sending.createBody(index))),
			});
			let firstMs = 0;
			let text = '';
			for await (const chunk of response.body as AsyncIterable<Uint8Array>) {
				firstMs ||= performance.now() - start;
				text += Buffer.from(chunk).toString();
			}

			failed += response.statusCode === 200 ? 0 : 1;
			tokens += text.split('\ndata: ').length - 1;
			firsts.push(firstMs);
			wholes.push(performance.now() - start);
		}
	};

	const start = performance.now();
	await Promise.all(Array.from({length: sending.inFlight}, async () => runNext()));
	const seconds = (performance.now() - start) / 1000;
	await pool.close();
	return {
		firstMedianMs: getShare(firsts, medianShare),
		firstTailMs: getShare(firsts, tailShare),
		wholeMedianMs: getShare(wholes, medianShare),
		wholeTailMs: getShare(wholes, tailShare),
		requestsPerSecond: sending.count / seconds,
		tokensPerSecond: tokens / seconds,
		failed,
	};
}

function getShare(values: readonly number[], share: number): number {
	const sorted = values.toSorted((left, right) => left - right);
	return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}

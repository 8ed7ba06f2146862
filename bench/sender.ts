import {Buffer} from 'node:buffer';
import {performance} from 'node:perf_hooks';
import {Pool} from 'undici';

/** Latency and throughput of the requests sent to one target. */
export type SendFigures = {
	/** Median and 99th percentile of the time to the first byte of the answer's body, in milliseconds. */
	readonly firstByteMedianMs: number;
	readonly firstByteP99Ms: number;
	/** Median and 99th percentile of the time to the end of the answer, in milliseconds. */
	readonly totalMedianMs: number;
	readonly totalP99Ms: number;
	readonly requestsPerSecond: number;
	readonly tokensPerSecond: number;
	/** Number of answers with another status than 200. */
	readonly failed: number;
};

/** Where and how requests are sent. */
export type SendOptions = {
	readonly origin: string;
	readonly path: string;
	/** Creates the JSON body of the request with the given index. */
	readonly createBody: (index: number) => unknown;
	/** Number of requests in total. */
	readonly count: number;
	/** Number of requests in flight at any time. */
	readonly inFlight: number;
};

const callerCount = 50;
const medianQuantile = 0.5;
const tailQuantile = 0.99;

/** Sends `count` requests, keeping `inFlight` of them in flight, and reads every answer to its end. */
export async function measureSending(options: SendOptions): Promise<SendFigures> {
	const pool = new Pool(options.origin, {connections: options.inFlight, headersTimeout: 0, bodyTimeout: 0});
	const firstByteTimesMs: number[] = [];
	const totalTimesMs: number[] = [];
	let tokens = 0;
	let failed = 0;
	let nextIndex = 0;
	const sendUntilDone = async () => {
		while (nextIndex < options.count) {
			const index = nextIndex++;
			const start = performance.now();
			const response = await pool.request({
				method: 'POST',
				path: options.path,
				headers: {'content-type': 'application/json', authorization: `Bearer caller-${index % callerCount}`},
				body: Buffer.from(JSON.stringify(options.createBody(index))),
			});
			let firstByteMs = 0;
			let text = '';
			for await (const chunk of response.body as AsyncIterable<Uint8Array>) {
				firstByteMs ||= performance.now() - start;
				text += Buffer.from(chunk).toString();
			}

			failed += response.statusCode === 200 ? 0 : 1;
			tokens += text.split('\ndata: ').length - 1;
			firstByteTimesMs.push(firstByteMs);
			totalTimesMs.push(performance.now() - start);
		}
	};

	const start = performance.now();
	await Promise.all(Array.from({length: options.inFlight}, async () => sendUntilDone()));
	const seconds = (performance.now() - start) / 1000;
	await pool.close();
	return {
		firstByteMedianMs: getQuantile(firstByteTimesMs, medianQuantile),
		firstByteP99Ms: getQuantile(firstByteTimesMs, tailQuantile),
		totalMedianMs: getQuantile(totalTimesMs, medianQuantile),
		totalP99Ms: getQuantile(totalTimesMs, tailQuantile),
		requestsPerSecond: options.count / seconds,
		tokensPerSecond: tokens / seconds,
		failed,
	};
}

function getQuantile(values: readonly number[], quantile: number): number {
	const sorted = values.toSorted((left, right) => left - right);
	return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? 0;
}

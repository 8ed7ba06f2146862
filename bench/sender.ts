import {Buffer} from 'node:buffer';
import {performance} from 'node:perf_hooks';
import {Pool} from 'undici';

/** What one way of sending gave. */
export type SendFigures = {
	/** Median and 99th percentile of the time to the first byte of the body, in milliseconds. */
	readonly firstByteMedianMs: number;
	readonly firstByteP99Ms: number;
	/** The same of the time to the end. */
	readonly totalMedianMs: number;
	readonly totalP99Ms: number;
	readonly requestsPerSecond: number;
	readonly tokensPerSecond: number;
	readonly failed: number;
};

/** One way to send a request. */
export type SendOptions = {
	readonly origin: string;
	readonly path: string;
	/** Makes the body of the request of an index. */
	readonly createBody: (index: number) => unknown;
	readonly count: number;
	readonly inFlight: number;
};

const callerCount = 50;
const medianQuantile = 0.5;
const tailQuantile = 0.99;

/** Sends requests and reads every answer to its end. */
export async function measureSending(options: SendOptions): Promise<SendFigures> {
	const pool = new Pool(options.origin, {connections: options.inFlight, headersTimeout: 0, bodyTimeout: 0});
	const firstByteTimesMs: number[] = [];
	const totalTimesMs: number[] = [];
	let tokens = 0;
	let failed = 0;
	let next = 0;
	const sendUntilDone = async () => {
		while (next < options.count) {
			const index = next++;
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

import {performance} from 'node:perf_hooks';
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {Agent, request} from 'undici';
import {engineEvent} from '../standins/engine/index.js';
import {readEngineJournal} from '../rigs/calls.js';
import {createChat} from '../rigs/wire.js';
import {RunningDeployment} from '../rigs/deployment.js';
import type {RunningEntry} from '../rigs/deployment.js';
import {RandomSource} from '../src/rates/index.js';
import {readServerEvents} from '../src/upstreams/index.js';
import {computeFigures} from './figures.js';
import type {EntryFigures, JobResult, RunFigures} from './figures.js';
import type {Job, Phase} from './mix.js';
import {createPrompt} from './prompt.js';

/** What a run over real processes is made of; times at time scale 1. */
export type LoadRunOptions = {
	readonly text: string;
	readonly policy: string;
	readonly scale: number;
	readonly phases: readonly Phase[];
	readonly jobs: readonly Job[];
	readonly deadlineMs: number;
	readonly weight: string | undefined;
	readonly hasFaults: boolean;
};

/** Share of the run at which an engine crashes, an entry is killed, and the entry starts again. */
const faultShares = {crash: 0.35, kill: 0.5, resume: 0.6};
const ticksPerSecond = 100;
const settleMs = 2500;

/** One open-loop run against a whole deployment on loopback. */
export class LoadRun {
	readonly #options: LoadRunOptions;
	readonly #results: JobResult[] = [];
	readonly #agent = new Agent({
		connections: 512, pipelining: 1, headersTimeout: 0, bodyTimeout: 0,
	});

	readonly #random = new RandomSource(1);
	readonly #dead = new Set<RunningEntry>();

	constructor(options: LoadRunOptions) {
		this.#options = options;
	}

	/** Starts the deployment, sends every job at its time, and returns the figures. */
	async run(): Promise<RunFigures> {
		const {text, scale, jobs, phases, policy, weight, deadlineMs} = this.#options;
		const scaledText = text
			.replace(/deadline_ms = \d+/v, `deadline_ms = ${Math.round(deadlineMs * scale)}`)
			.replace(/goodput_weight = [\d.]+/v, found => weight === undefined ? found : `goodput_weight = ${weight}`)
			.replace(/requests_per_second = \d+/v, 'requests_per_second = 100000')
			.replace(/tokens_per_second = \d+/v, 'tokens_per_second = 1000000000');
		process.env.CROCUS_POLICY = policy;
		const deployment = new RunningDeployment({configurationText: scaledText, entriesPerDomain: 2, timeScale: scale});
		try {
			await deployment.start();
			await sleep(settleMs);
			const before = deployment.entries.map(entry => readProcess(entry));
			const bytesBefore = await this.#countFeedBytes(deployment);
			const start = performance.now();
			let durationMs = 0;
			for (const phase of phases) {
				durationMs += phase.durationMs;
			}

			if (this.#options.hasFaults) {
				this.#startFaults(deployment, durationMs * scale);
			}

			const pending: Array<Promise<void>> = [];
			for (const job of jobs) {
				await sleep((job.at * scale) - (performance.now() - start));
				pending.push(this.#sendJob(deployment, job));
			}

			await Promise.all(pending);
			const seconds = (performance.now() - start) / 1000;
			const entry = measureEntries(deployment, before, seconds);
			const feedBytes = await this.#countFeedBytes(deployment) - bytesBefore;
			const roleChanges = await countRoleChanges(deployment);
			return {
				...computeFigures(this.#results, durationMs / 1000, {roleChanges, retries: await this.#countMetric(deployment, 'crocus_retries_total'), apart: 0}),
				entry: {...entry, feedBytesPerSecond: feedBytes / seconds / deployment.entries.length},
			};
		} finally {
			await this.#agent.destroy();
			await deployment.close();
		}
	}

	#startFaults(deployment: RunningDeployment, durationMs: number): void {
		const [engine] = deployment.upstreams;
		const [entry] = deployment.entries;
		setTimeout(async () => {
			await request(`${engine!.origin}/control`, {method: 'POST', body: JSON.stringify({crash: true})});
		}, durationMs * faultShares.crash);
		setTimeout(() => {
			this.#dead.add(entry!);
			entry!.child.kill('SIGKILL');
		}, durationMs * faultShares.kill);
		setTimeout(() => {
			deployment.restartEntry(entry!);
			setTimeout(() => {
				this.#dead.delete(entry!);
			}, settleMs);
		}, durationMs * faultShares.resume);
	}

	async #sendJob(deployment: RunningDeployment, job: Job): Promise<void> {
		const {scale, deadlineMs} = this.#options;
		// The balancer leaves out an entry that it knows to be dead.
		const entries = deployment.entries.filter(entry => !this.#dead.has(entry));
		const entry = entries[this.#random.pickIndex(entries.length)]!;
		const start = performance.now();
		const abort = new AbortController();
		const timer = setTimeout(() => {
			abort.abort();
		}, deadlineMs * scale);
		const seen = {
			tokens: 0, firstAt: 0, lastAt: 0, gapsMs: [] as number[], isWhole: false, refusal: undefined as string | undefined,
		};
		try {
			await this.#readAnswer(entry, job, seen, abort.signal);
		} catch {
			seen.refusal ??= abort.signal.aborted ? undefined : 'broken';
		} finally {
			clearTimeout(timer);
		}

		this.#results.push({
			job,
			refusal: seen.refusal,
			isOnTime: seen.isWhole && performance.now() - start <= deadlineMs * scale,
			tokens: seen.tokens,
			firstTokenMs: seen.firstAt > 0 ? (seen.firstAt - start) / scale : undefined,
			gapsMs: seen.gapsMs,
		});
	}

	async #readAnswer(entry: RunningEntry, job: Job, seen: Seen, signal: AbortSignal): Promise<void> {
		const response = await request(`${entry.origin}/v1/chat/completions`, {
			method: 'POST',
			dispatcher: this.#agent,
			signal,
			headers: {'content-type': 'application/json', authorization: `Bearer ${job.caller}`},
			body: JSON.stringify({...createChat('contracts', createPrompt(job), job.maxTokens), stream: true}),
		});
		if (response.statusCode !== 200) {
			const {error} = await response.body.json() as {error: {code: string}};
			seen.refusal = error.code;
			return;
		}

		for await (const data of readServerEvents(response.body)) {
			seen.isWhole ||= data === '[DONE]';
			if (data.includes('"content"')) {
				this.#onToken(seen);
			}
		}
	}

	#onToken(seen: Seen): void {
		const now = performance.now();
		seen.tokens++;
		if (seen.firstAt === 0) {
			seen.firstAt = now;
		} else {
			seen.gapsMs.push((now - seen.lastAt) / this.#options.scale);
		}

		seen.lastAt = now;
	}

	async #countFeedBytes(deployment: RunningDeployment): Promise<number> {
		return this.#countMetric(deployment, 'crocus_peer_bytes_total');
	}

	async #countMetric(deployment: RunningDeployment, name: string): Promise<number> {
		let sum = 0;
		for (const entry of deployment.entries) {
			try {
				const response = await request(`${entry.origin}/metrics`);
				const text = await response.body.text();
				for (const line of text.split('\n').filter(line => line.startsWith(`${name}{`))) {
					sum += Number(line.split(' ').at(-1));
				}
			} catch {
				// A killed entry has nothing to tell.
			}
		}

		return sum;
	}
}

type Seen = {tokens: number; firstAt: number; lastAt: number; readonly gapsMs: number[]; isWhole: boolean; refusal: string | undefined};
type ProcessReading = {readonly pid: number | undefined; readonly cpuSeconds: number; readonly megabytes: number};

async function countRoleChanges(deployment: RunningDeployment): Promise<number> {
	let count = 0;
	for (const {origin} of deployment.upstreams) {
		const journal = await readEngineJournal(origin);
		count += journal.filter(row => row.event === engineEvent.orderApplied && row.kind === 'configure').length;
	}

	return count;
}

function measureEntries(deployment: RunningDeployment, before: readonly ProcessReading[], seconds: number): EntryFigures {
	let cpu = 0;
	let megabytes = 0;
	let count = 0;
	for (const [index, entry] of deployment.entries.entries()) {
		const after = readProcess(entry);
		if (after.pid === before[index]!.pid) {
			cpu += after.cpuSeconds - before[index]!.cpuSeconds;
			megabytes += after.megabytes;
			count++;
		}
	}

	return {cpuShare: cpu / seconds / Math.max(1, count), megabytes: megabytes / Math.max(1, count), feedBytesPerSecond: 0};
}

/** Reads the processor time and the resident memory of an entry's process. */
function readProcess(entry: RunningEntry): ProcessReading {
	const {pid} = entry.child;
	try {
		const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ').at(-1)!.split(' ');
		const pages = Number(readFileSync(`/proc/${pid}/statm`, 'utf8').split(' ')[1]);
		return {pid, cpuSeconds: (Number(fields[11]) + Number(fields[12])) / ticksPerSecond, megabytes: pages * 4096 / 1e6};
	} catch {
		return {pid, cpuSeconds: 0, megabytes: 0};
	}
}

async function sleep(ms: number): Promise<void> {
	if (ms > 0) {
		await new Promise(resolve => {
			setTimeout(resolve, ms);
		});
	}
}

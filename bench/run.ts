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

/** Options of a run over real processes; times at time scale 1. */
export type LoadRunOptions = {
	readonly configurationText: string;
	readonly policy: string;
	readonly timeScale: number;
	readonly phases: readonly Phase[];
	readonly jobs: readonly Job[];
	readonly deadlineMs: number;
	/** Replaces the goodput weight of the configuration; `undefined` keeps it. */
	readonly goodputWeight: string | undefined;
	/** Whether an engine crashes and an entry is killed and restarted during the run. */
	readonly hasFaults: boolean;
};

/** Times at which an engine crashes, an entry is killed, and that entry is restarted, as shares of the run's duration. */
const faultShares = {crash: 0.35, kill: 0.5, resume: 0.6};
/** Unit of processor times in `/proc/<pid>/stat`. */
const clockTicksPerSecond = 100;
/** Time for a started deployment or restarted entry to become ready. */
const settleMs = 2500;

/** One open-loop run against a whole deployment on loopback: jobs are sent at their times, whether or not earlier ones have ended. */
export class LoadRun {
	readonly #options: LoadRunOptions;
	readonly #results: JobResult[] = [];
	readonly #agent = new Agent({
		connections: 512, pipelining: 1, headersTimeout: 0, bodyTimeout: 0,
	});

	readonly #random = new RandomSource(1);
	readonly #killedEntries = new Set<RunningEntry>();

	constructor(options: LoadRunOptions) {
		this.#options = options;
	}

	/** Starts the deployment, sends every job at its time, waits for all answers, and returns the figures. */
	async run(): Promise<RunFigures> {
		const {configurationText, timeScale, jobs, phases, policy, goodputWeight, deadlineMs} = this.#options;
		const scaledText = configurationText
			.replace(/deadline_ms = \d+/v, `deadline_ms = ${Math.round(deadlineMs * timeScale)}`)
			.replace(/goodput_weight = [\d.]+/v, match => goodputWeight === undefined ? match : `goodput_weight = ${goodputWeight}`)
			.replace(/requests_per_second = \d+/v, 'requests_per_second = 100000')
			.replace(/tokens_per_second = \d+/v, 'tokens_per_second = 1000000000');
		process.env.CROCUS_POLICY = policy;
		const deployment = new RunningDeployment({configurationText: scaledText, entriesPerDomain: 2, timeScale});
		try {
			await deployment.start();
			await sleep(settleMs);
			const usageBefore = deployment.entries.map(entry => readProcessUsage(entry));
			const peerBytesBefore = await this.#countPeerBytes(deployment);
			const start = performance.now();
			let durationMs = 0;
			for (const phase of phases) {
				durationMs += phase.durationMs;
			}

			if (this.#options.hasFaults) {
				this.#startFaults(deployment, durationMs * timeScale);
			}

			const pendingJobs: Array<Promise<void>> = [];
			for (const job of jobs) {
				await sleep((job.sendAtMs * timeScale) - (performance.now() - start));
				pendingJobs.push(this.#sendJob(deployment, job));
			}

			await Promise.all(pendingJobs);
			const seconds = (performance.now() - start) / 1000;
			const entryFigures = computeEntryFigures(deployment, usageBefore, seconds);
			const peerBytes = await this.#countPeerBytes(deployment) - peerBytesBefore;
			const roleChanges = await countRoleChanges(deployment);
			return {
				...computeFigures(this.#results, durationMs / 1000, {roleChanges, retries: await this.#sumMetric(deployment, 'crocus_retries_total'), apart: 0}),
				entry: {...entryFigures, feedBytesPerSecond: peerBytes / seconds / deployment.entries.length},
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
			this.#killedEntries.add(entry!);
			entry!.child.kill('SIGKILL');
		}, durationMs * faultShares.kill);
		setTimeout(() => {
			deployment.restartEntry(entry!);
			setTimeout(() => {
				this.#killedEntries.delete(entry!);
			}, settleMs);
		}, durationMs * faultShares.resume);
	}

	async #sendJob(deployment: RunningDeployment, job: Job): Promise<void> {
		const {timeScale, deadlineMs} = this.#options;
		// Stands in for the load balancer, which sends no requests to an entry that it knows to be down.
		const entries = deployment.entries.filter(entry => !this.#killedEntries.has(entry));
		const entry = entries[this.#random.pickIndex(entries.length)]!;
		const start = performance.now();
		const controller = new AbortController();
		const timer = setTimeout(() => {
			controller.abort();
		}, deadlineMs * timeScale);
		const progress = {
			tokens: 0, firstAt: 0, lastAt: 0, gapsMs: [] as number[], isWhole: false, refusal: undefined as string | undefined,
		};
		try {
			await this.#readAnswer(entry, job, progress, controller.signal);
		} catch {
			progress.refusal ??= controller.signal.aborted ? undefined : 'broken';
		} finally {
			clearTimeout(timer);
		}

		this.#results.push({
			job,
			refusal: progress.refusal,
			isOnTime: progress.isWhole && performance.now() - start <= deadlineMs * timeScale,
			tokens: progress.tokens,
			firstTokenMs: progress.firstAt > 0 ? (progress.firstAt - start) / timeScale : undefined,
			gapsMs: progress.gapsMs,
		});
	}

	async #readAnswer(entry: RunningEntry, job: Job, progress: AnswerProgress, signal: AbortSignal): Promise<void> {
		const response = await request(`${entry.origin}/v1/chat/completions`, {
			method: 'POST',
			dispatcher: this.#agent,
			signal,
			headers: {'content-type': 'application/json', authorization: `Bearer ${job.caller}`},
			body: JSON.stringify({...createChat('contracts', createPrompt(job), job.maxTokens), stream: true}),
		});
		if (response.statusCode !== 200) {
			const {error} = await response.body.json() as {error: {code: string}};
			progress.refusal = error.code;
			return;
		}

		for await (const data of readServerEvents(response.body)) {
			progress.isWhole ||= data === '[DONE]';
			if (data.includes('"content"')) {
				this.#onToken(progress);
			}
		}
	}

	#onToken(progress: AnswerProgress): void {
		const now = performance.now();
		progress.tokens++;
		if (progress.firstAt === 0) {
			progress.firstAt = now;
		} else {
			progress.gapsMs.push((now - progress.lastAt) / this.#options.timeScale);
		}

		progress.lastAt = now;
	}

	async #countPeerBytes(deployment: RunningDeployment): Promise<number> {
		return this.#sumMetric(deployment, 'crocus_peer_bytes_total');
	}

	async #sumMetric(deployment: RunningDeployment, name: string): Promise<number> {
		let sum = 0;
		for (const entry of deployment.entries) {
			try {
				const response = await request(`${entry.origin}/metrics`);
				const text = await response.body.text();
				for (const line of text.split('\n').filter(line => line.startsWith(`${name}{`))) {
					sum += Number(line.split(' ').at(-1));
				}
			} catch {
				// A killed entry serves no metrics.
			}
		}

		return sum;
	}
}

type AnswerProgress = {tokens: number; firstAt: number; lastAt: number; readonly gapsMs: number[]; isWhole: boolean; refusal: string | undefined};
type ProcessUsage = {readonly pid: number | undefined; readonly cpuSeconds: number; readonly megabytes: number};

async function countRoleChanges(deployment: RunningDeployment): Promise<number> {
	let count = 0;
	for (const {origin} of deployment.upstreams) {
		const journal = await readEngineJournal(origin);
		count += journal.filter(row => row.event === engineEvent.orderApplied && row.kind === 'configure').length;
	}

	return count;
}

function computeEntryFigures(deployment: RunningDeployment, usageBefore: readonly ProcessUsage[], seconds: number): EntryFigures {
	let cpu = 0;
	let megabytes = 0;
	let count = 0;
	for (const [index, entry] of deployment.entries.entries()) {
		const after = readProcessUsage(entry);
		if (after.pid === usageBefore[index]!.pid) {
			cpu += after.cpuSeconds - usageBefore[index]!.cpuSeconds;
			megabytes += after.megabytes;
			count++;
		}
	}

	return {cpuShare: cpu / seconds / Math.max(1, count), megabytes: megabytes / Math.max(1, count), feedBytesPerSecond: 0};
}

/** Reads the processor time and the resident memory of an entry's process; both are 0 if the process has ended. */
function readProcessUsage(entry: RunningEntry): ProcessUsage {
	const {pid} = entry.child;
	try {
		const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ').at(-1)!.split(' ');
		const pages = Number(readFileSync(`/proc/${pid}/statm`, 'utf8').split(' ')[1]);
		return {pid, cpuSeconds: (Number(fields[11]) + Number(fields[12])) / clockTicksPerSecond, megabytes: pages * 4096 / 1e6};
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

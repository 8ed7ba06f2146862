import {
	choosePlainEngine, computeFallbackMs, engineOutcome, engineStage, EngineView, estimateCompletionMs, findFurther,
} from '../../src/dispatch/index.js';
import type {EngineLoad} from '../../src/dispatch/index.js';
import {ExtraSends} from '../../src/hedging/index.js';
import type {OpenExtraSend} from '../../src/hedging/index.js';
import {RandomSource} from '../../src/rates/index.js';

const millisecondsPerSecond = 1000;
/** Time of a message between entry and engine, in milliseconds. */
const networkMs = 1;
const callMeanMs = 43;
const callSpread = 0.5;
const longCallShare = 0.01;
const longCallFactor = 5;
const slowdownFactor = 2.5;
const slowdownShare = 0.15;
const slowdownPeriodMs = 600;
const defaultTargetMs = 199;
const deadlineMs = 2000;
/** Share of its target after which a call is also sent to a further engine, as in `PlainRace`. */
const silenceShare = 0.6;
/** Share of the time to the deadline that a late call may wait at its entry, as in `AdmissionQueue`. */
const maxWaitShare = 0.12;
const queueCheckMs = 5;
/** Further sends allowed for each call. */
const retryRatio = 0.1;
const maxRuns = 3;

/** Options of a run. */
export type PlainLoadOptions = {
	readonly seed: number;
	readonly seconds: number;
	readonly isReporting: boolean;
	/** Speeds of the engines, relative to the usual. Default: 0.55, 0.9 and 1.2. */
	readonly speeds?: readonly number[];
	readonly perSecond?: number;
	readonly entryCount?: number;
	/** Target of the calls, in milliseconds. Default: 199. */
	readonly targetMs?: number;
	/** Share of extra work for hedged requests. Default: 0. */
	readonly extraShare?: number;
	/** Time in which the last engine is gone, in seconds. */
	readonly lost?: {readonly from: number; readonly to: number};
	/** For a trial: entries in groups of this size pass reports on, with this delay. */
	readonly passing?: {readonly groupSize: number; readonly delayMs: number};
	/** For a trial: interval at which each group asks the health path of each engine, in milliseconds. */
	readonly healthIntervalMs?: number;
};

/** What callers got, and what was spent for it. */
export type PlainLoadResult = {
	readonly onTime: number; readonly late: number; readonly refused: number;
	readonly p50: number; readonly p99: number; readonly p999: number;
	readonly extraSends: number;
	/** Share of extra work, of sends or time, whichever is larger; the largest of all entries. */
	readonly maxSpentShare: number;
	/** Extra sends for each call, over all entries. */
	readonly extraSendShare: number;
	readonly furtherSends: number;
};

type Job = {readonly send: Send; readonly workMs: number};
type Send = {
	readonly call: Call; readonly engine: Engine; readonly view: EngineView; readonly sentAt: number; readonly expectedMs: number; isOpen: boolean; isStarted: boolean;
	readonly extra: OpenExtraSend | undefined;
};
type Call = {readonly entry: Entry; readonly arrivedAt: number; readonly tried: Set<EngineView>; readonly sends: Send[]; isDone: boolean; runs: number};
type Entry = {readonly views: EngineView[]; readonly extraSends: ExtraSends | undefined; waiting: number; calls: number; furtherSends: number};

/** Actions in the order of their times. */
class Agenda {
	now = 0;
	readonly #heap: Array<{readonly at: number; readonly order: number; readonly action: () => void}> = [];
	#order = 0;

	/** Calls `action` at `at`. */
	add(at: number, action: () => void): void {
		const heap = this.#heap;
		heap.push({at, order: this.#order++, action});
		for (let index = heap.length - 1; index > 0;) {
			const parent = Math.floor((index - 1) / 2);
			if (!this.#isBefore(index, parent)) {
				return;
			}

			[heap[index], heap[parent]] = [heap[parent]!, heap[index]!];
			index = parent;
		}
	}

	/** Runs everything that is due before `endsAt`. */
	run(endsAt: number): void {
		while (this.#heap.length > 0 && this.#heap[0]!.at < endsAt) {
			const next = this.#heap[0]!;
			const last = this.#heap.pop()!;
			if (this.#heap.length > 0) {
				this.#heap[0] = last;
				this.#sortDown();
			}

			this.now = next.at;
			next.action();
		}
	}

	#sortDown(): void {
		const heap = this.#heap;
		for (let index = 0; ;) {
			let least = index;
			for (const child of [(2 * index) + 1, (2 * index) + 2]) {
				if (child < heap.length && this.#isBefore(child, least)) {
					least = child;
				}
			}

			if (least === index) {
				return;
			}

			[heap[index], heap[least]] = [heap[least]!, heap[index]!];
			index = least;
		}
	}

	#isBefore(left: number, right: number): boolean {
		const [first, second] = [this.#heap[left]!, this.#heap[right]!];
		return first.at < second.at || (first.at === second.at && first.order < second.order);
	}
}

/** An engine of an application service on a machine that others share. */
class Engine {
	running: Job[] = [];
	queue: Job[] = [];
	isLost = false;
	readonly #slowPeriods: boolean[] = [];

	constructor(readonly index: number, readonly speed: number, readonly phaseMs: number, readonly random: RandomSource) {}

	getSlowdown(at: number): number {
		const period = Math.floor((at + this.phaseMs) / slowdownPeriodMs);
		while (this.#slowPeriods.length <= period) {
			this.#slowPeriods.push(this.random.getRandom() < slowdownShare);
		}

		return this.#slowPeriods[period] ? slowdownFactor : 1;
	}

	/** Computes when work that starts at `at` is done. */
	computeEnd(at: number, workMs: number): number {
		let restMs = workMs / this.speed;
		for (;;) {
			const slowdown = this.getSlowdown(at);
			const periodEnd = ((Math.floor((at + this.phaseMs) / slowdownPeriodMs) + 1) * slowdownPeriodMs) - this.phaseMs;
			if (at + (restMs * slowdown) <= periodEnd) {
				return at + (restMs * slowdown);
			}

			restMs -= (periodEnd - at) / slowdown;
			at = periodEnd + 1e-9;
		}
	}
}

const slots = 6;
const maxQueued = 24;

/** Plays plain calls of many entries on few uneven engines in virtual time, with the choice of `src/dispatch` and the hedging of `src/hedging`. */
export class PlainLoadRun {
	readonly #options: PlainLoadOptions;
	readonly #random: RandomSource;
	readonly #agenda = new Agenda();
	readonly #engines: Engine[];
	readonly #entries: Entry[];
	readonly #timesMs: number[] = [];
	readonly #targetMs: number;
	readonly #counts = {onTime: 0, late: 0, refused: 0};

	constructor(options: PlainLoadOptions) {
		this.#options = options;
		this.#targetMs = options.targetMs ?? defaultTargetMs;
		this.#random = new RandomSource(options.seed);
		this.#engines = (options.speeds ?? [0.55, 0.9, 1.2]).map((speed, index) => new Engine(index, speed, this.#random.pickBetween(0, slowdownPeriodMs), new RandomSource((options.seed * 10) + index)));
		this.#entries = Array.from({length: options.entryCount ?? 62}, () => ({
			views: this.#engines.map(({index}) => new EngineView({
				id: `e${index}`, address: `e${index}:1`, service: 'app', stage: engineStage.any, slots, isLeaving: false, startedAt: 1,
			})),
			extraSends: options.extraShare ? new ExtraSends(options.extraShare) : undefined, waiting: 0, calls: 0, furtherSends: 0,
		}));
	}

	/** Runs it. Calls of the first ten seconds do not count, in which entries learn. */
	run(): PlainLoadResult {
		const {seconds, lost, healthIntervalMs} = this.#options;
		this.#scheduleArrival();
		if (lost) {
			this.#agenda.add(lost.from * millisecondsPerSecond, () => {
				this.#stopLastEngine();
			});
			this.#agenda.add(lost.to * millisecondsPerSecond, () => {
				this.#engines.at(-1)!.isLost = false;
			});
		}

		if (healthIntervalMs !== undefined) {
			this.#scheduleHealth(healthIntervalMs);
		}

		this.#agenda.run(seconds * millisecondsPerSecond);
		const sorted = this.#timesMs.toSorted((left, right) => left - right);
		const getQuantile = (share: number) => Math.round(sorted[Math.floor(sorted.length * share)] ?? 0);
		const total = this.#counts.onTime + this.#counts.late + this.#counts.refused;
		const sum = (select: (entry: Entry) => number) => this.#entries.reduce((value, entry) => value + select(entry), 0);
		return {
			onTime: this.#counts.onTime / total, late: this.#counts.late / total, refused: this.#counts.refused / total,
			p50: getQuantile(0.5), p99: getQuantile(0.99), p999: getQuantile(0.999),
			extraSends: sum(({extraSends}) => extraSends?.counts.sent ?? 0),
			maxSpentShare: Math.max(...this.#entries.map(({extraSends}) => extraSends?.computeSpentShare() ?? 0)),
			extraSendShare: sum(({extraSends}) => extraSends?.counts.sent ?? 0) / Math.max(1, sum(({calls}) => calls)),
			furtherSends: sum(({furtherSends}) => furtherSends),
		};
	}

	#scheduleArrival(): void {
		const {perSecond = 121} = this.#options;
		this.#agenda.add(this.#agenda.now - (Math.log(1 - this.#random.getRandom()) * millisecondsPerSecond / perSecond), () => {
			const entry = this.#entries[this.#random.pickIndex(this.#entries.length)]!;
			entry.calls++;
			this.#dispatchCall({
				entry, arrivedAt: this.#agenda.now, tried: new Set(), sends: [], isDone: false, runs: 0,
			}, false);
			this.#scheduleArrival();
		});
	}

	#scheduleHealth(intervalMs: number): void {
		this.#agenda.add(this.#agenda.now + intervalMs, () => {
			for (const engine of this.#engines) {
				if (!engine.isLost) {
					const load = this.#createLoad(engine);
					const {now} = this.#agenda;
					for (const {views} of this.#entries) {
						views[engine.index]!.reports.onLoad(load, views[engine.index]!.localRequests, now);
					}
				}
			}

			this.#scheduleHealth(intervalMs);
		});
	}

	#choose(entry: Entry, tried: ReadonlySet<EngineView>): EngineView | undefined {
		return choosePlainEngine(entry.views, tried, this.#agenda.now, () => this.#random.getRandom());
	}

	#dispatchCall(call: Call, isWaiting: boolean): void {
		const {now} = this.#agenda;
		const {entry} = call;
		if (isWaiting) {
			entry.waiting--;
		}

		const view = this.#choose(entry, call.tried) ?? this.#choose(entry, new Set());
		if (view) {
			this.#send(call, view, undefined);
		} else if (now - call.arrivedAt > deadlineMs * maxWaitShare) {
			this.#finish(call, false);
		} else {
			entry.waiting++;
			this.#agenda.add(now + queueCheckMs, () => {
				this.#dispatchCall(call, true);
			});
		}
	}

	#send(call: Call, view: EngineView, extra: OpenExtraSend | undefined): void {
		const {now} = this.#agenda;
		const engine = this.#engines[call.entry.views.indexOf(view)]!;
		const send: Send = {
			call, engine, view, sentAt: now, expectedMs: estimateCompletionMs(view, computeFallbackMs(call.entry.views), now), isOpen: true, isStarted: false, extra,
		};
		view.localRequests++;
		view.health.onSend();
		call.sends.push(send);
		call.tried.add(view);
		this.#agenda.add(now + networkMs, () => {
			this.#handleArrival(send);
		});
		this.#agenda.add(now + (this.#targetMs * silenceShare), () => {
			this.#handleSilence(send);
		});
		if (extra) {
			this.#agenda.add(now + extra.maxMs, () => {
				this.#abortUncovered(send);
			});
		}

		const delayMs = extra ? undefined : call.entry.extraSends?.computeDelayMs('app', send.expectedMs);
		if (delayMs !== undefined) {
			this.#agenda.add(now + delayMs, () => {
				this.#trySendExtra(send);
			});
		}
	}

	#handleArrival(send: Send): void {
		const {engine} = send;
		if (!send.isOpen) {
			return;
		}

		if (engine.isLost) {
			this.#finishSend(send, engineOutcome.unreachable);
		} else if (engine.running.length >= slots && engine.queue.length >= maxQueued) {
			send.view.onLoad(this.#createLoad(engine), this.#agenda.now);
			this.#finishSend(send, engineOutcome.refused);
		} else {
			engine.queue.push({send, workMs: this.#pickWorkMs()});
			this.#startQueued(engine);
		}
	}

	#startQueued(engine: Engine): void {
		const {now} = this.#agenda;
		while (engine.running.length < slots && engine.queue.length > 0) {
			const job = engine.queue.shift()!;
			engine.running.push(job);
			this.#agenda.add(engine.computeEnd(now, job.workMs), () => {
				this.#completeJob(engine, job);
			});
		}
	}

	#completeJob(engine: Engine, job: Job): void {
		if (!engine.running.includes(job)) {
			return;
		}

		const load = this.#createLoad(engine);
		engine.running = engine.running.filter(other => other !== job);
		this.#startQueued(engine);
		const reportedAt = this.#agenda.now;
		this.#agenda.add(reportedAt + networkMs, () => {
			const {send} = job;
			if (!send.isOpen) {
				return;
			}

			send.view.onLoad(load, this.#agenda.now);
			send.view.onDuration(this.#agenda.now - send.sentAt, load);
			this.#publishReport(send, load);
			this.#finishSend(send, engineOutcome.answered);
		});
	}

	/** Passes a report on to the other entries of a group. */
	#publishReport(send: Send, load: EngineLoad): void {
		const {passing} = this.#options;
		if (!passing) {
			return;
		}

		const {now} = this.#agenda;
		const group = Math.floor(this.#entries.indexOf(send.call.entry) / passing.groupSize);
		const others = this.#entries.slice(group * passing.groupSize, (group + 1) * passing.groupSize).filter(entry => entry !== send.call.entry);
		this.#agenda.add(now + this.#random.pickBetween(0, passing.delayMs * 2), () => {
			for (const {views} of others) {
				const view = views[send.engine.index]!;
				view.reports.onLoad(load, view.localRequests, now);
			}
		});
	}

	#finishSend(send: Send, outcome: 'answered' | 'refused' | 'unreachable' | 'broken'): void {
		const {call} = send;
		const {now} = this.#agenda;
		send.isOpen = false;
		send.view.localRequests--;
		send.view.health.onOutcome(outcome, now);
		call.runs += outcome === engineOutcome.answered || outcome === engineOutcome.broken ? 1 : 0;
		if (call.isDone) {
			return;
		}

		if (outcome === engineOutcome.answered) {
			call.entry.extraSends?.onAnswer('app', now - send.sentAt, send.expectedMs);
			const losers = call.sends.filter(({isOpen}) => isOpen);
			for (const loser of losers) {
				this.#abort(loser);
			}

			for (const other of call.sends) {
				// Without a loser among the open sends, the loser had ended before without an answer.
				other.extra?.finish(other === send, losers.reduce((sum, loser) => sum + now - loser.sentAt, 0));
			}

			this.#finish(call, true);
		} else if (call.sends.every(({isOpen}) => !isOpen)) {
			if (outcome === engineOutcome.unreachable || this.#takeRetry(call.entry)) {
				this.#dispatchCall(call, false);
			} else {
				this.#finish(call, false);
			}
		}
	}

	/** Ends an extra send when further work is not covered. */
	#abortUncovered(send: Send): void {
		if (send.isOpen && !send.call.isDone && send.call.sends.some(other => other !== send && other.isOpen)) {
			this.#abort(send);
			send.extra?.finish(false, this.#agenda.now - send.sentAt);
		}
	}

	#abort(send: Send): void {
		send.isOpen = false;
		send.view.localRequests--;
		send.view.health.onInconclusive();
		const {engine} = send;
		this.#agenda.add(this.#agenda.now + networkMs, () => {
			engine.running = engine.running.filter(job => job.send !== send);
			engine.queue = engine.queue.filter(job => job.send !== send);
			this.#startQueued(engine);
		});
	}

	#handleSilence(send: Send): void {
		const {call} = send;
		if (!send.isOpen || call.isDone) {
			return;
		}

		send.view.health.onOutcome(engineOutcome.silent, this.#agenda.now);
		if (call.sends.length >= maxRuns) {
			return;
		}

		const view = this.#choose(call.entry, call.tried);
		if (view && this.#takeRetry(call.entry)) {
			this.#send(call, view, undefined);
		}
	}

	#trySendExtra(send: Send): void {
		const {call} = send;
		const {entry} = call;
		const {now} = this.#agenda;
		if (!send.isOpen || call.isDone || call.sends.length > 1) {
			return;
		}

		const elapsedMs = now - send.sentAt;
		const further = entry.waiting > 0 ? undefined : findFurther(entry.views, call.tried, now);
		const loserMs = elapsedMs + (further?.expectedMs ?? 0);
		const isUseful = further && entry.extraSends!.isSooner('app', {elapsedMs, expectedMs: send.expectedMs, furtherMs: further.expectedMs});
		if (isUseful && entry.extraSends!.isCovered(loserMs) && this.#takeRetry(entry)) {
			this.#send(call, further.view, entry.extraSends!.start(loserMs, elapsedMs));
			return;
		}

		this.#agenda.add(now + entry.extraSends!.computeRecheckMs(elapsedMs), () => {
			this.#trySendExtra(send);
		});
	}

	#takeRetry(entry: Entry): boolean {
		if (entry.furtherSends + 1 > 2 + (entry.calls * retryRatio)) {
			return false;
		}

		entry.furtherSends++;
		return true;
	}

	#finish(call: Call, isAnswered: boolean): void {
		call.isDone = true;
		if (call.arrivedAt < 10 * millisecondsPerSecond) {
			return;
		}

		const tookMs = this.#agenda.now - call.arrivedAt;
		if (!isAnswered) {
			this.#counts.refused++;
			return;
		}

		this.#timesMs.push(tookMs);
		this.#counts[tookMs <= this.#targetMs ? 'onTime' : 'late']++;
	}

	#stopLastEngine(): void {
		const engine = this.#engines.at(-1)!;
		engine.isLost = true;
		const jobs = [...engine.running, ...engine.queue];
		engine.running = [];
		engine.queue = [];
		for (const {send} of jobs) {
			if (send.isOpen) {
				this.#finishSend(send, engineOutcome.broken);
			}
		}
	}

	#createLoad(engine: Engine): EngineLoad {
		return {running: engine.running.length, waiting: engine.queue.length, ...(this.#options.isReporting ? {slowdown: engine.getSlowdown(this.#agenda.now)} : {})};
	}

	/** Picks the work of a call: log-normal around its mean, with a few that are several times as long. */
	#pickWorkMs(): number {
		const normal = Math.sqrt(-2 * Math.log(1 - this.#random.getRandom())) * Math.cos(2 * Math.PI * this.#random.getRandom());
		const factor = Math.exp((callSpread * normal) - (callSpread * callSpread / 2));
		return callMeanMs * factor * (this.#random.getRandom() < longCallShare ? longCallFactor : 1);
	}
}

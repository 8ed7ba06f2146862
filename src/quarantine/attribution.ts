import {engineOutcome, isSignOfLife} from '../dispatch/index.js';
import type {EngineOutcome, EngineView, PrefixBlock} from '../dispatch/index.js';
import type {TimerService} from '../timers/index.js';
import {listIds} from './quarantine.js';
import type {BlockQuarantine} from './quarantine.js';

/** Time for which a run with a suspect block keeps others from starting, in milliseconds: engines crash sooner, and an engine that hangs must not hold up all requests with the block. */
const trialMs = 500;
/** Time for which further reports of a crash are about the same one, in milliseconds: the requests on the engine end one by one. */
const sameCrashMs = 1000;
/** Time between the end of a request without an answer and a crash for which it may be the cause, in milliseconds: its caller may have left. */
const recentMs = 500;
/** Maximum number of requests that are kept for this time. */
const maxRecentRuns = 512;
/** Time after which a request that is still being answered has shown that its blocks crash no engine, in milliseconds. */
const survivalMs = 2000;
/** Crashes that make a block suspect, and those that do so for one that is proven. */
const crashesToSuspect = 1;
const crashesToSuspectIfProven = 2;
/** Time for which crashes that did not involve a block show that engines crash for other reasons too, in milliseconds. */
const otherCrashesMs = 300_000;
/** Maximum number of crashes that are remembered for this time. */
const maxCrashes = 64;
/** Further crashes that are needed to quarantine a block that is proven. */
const furtherCrashesIfProven = 2;
/** Maximum number of suspect blocks that are remembered. */
const maxSuspects = 8192;

/** Maximum number of requests that are kept for an engine that has fallen silent. */
const maxSilentRuns = 64;

/** A generation from its reservation to its end. */
export type Run = {
	readonly blocks: readonly string[];
	readonly prefillEngine: EngineView | undefined;
	readonly decodeEngine: EngineView;
	/** Whether it had suspect blocks when it was placed; no other run at its engines had any. */
	readonly isTrial: boolean;
	/** Monotonic, in milliseconds. */
	readonly startedAt: number;
	/** Monotonic time from which the decode engine may be at work on it, in milliseconds; `undefined` while another engine prefills it. */
	decodesFrom: number | undefined;
	/** Whether the decode engine sends nothing for it. */
	isSilent?: boolean;
	/** Whether it was the only trial on an engine that has crashed. */
	isAtFault?: boolean;
};

/** What is known of a crash when it is noticed. */
export type CrashReport = {
	readonly engine: EngineView;
	/** Number of generations that were on the engine. */
	readonly runs: number;
	/** Blocks that are suspect now, or still are. */
	readonly suspects: readonly string[];
};

/** Crashes of engines that had prompts with a block, since the last complete answer to one. */
type Suspicion = {
	crashes: number;
	readonly wasProven: boolean;
	/** Monotonic time of the last crash, in milliseconds. */
	crashedAt: number;
	/** Runs that have the block. */
	readonly runs: Set<Run>;
};

/**
Finds out which prompt blocks crash engines, from which generations were on an engine when it crashed and which were answered. All blocks
of the former become suspect; a complete answer to any prompt with a block clears it. Until then at most one generation with it runs
at a time, on an engine without other suspects, so that the next crash shows which one causes it. Engines that crash for another reason leave
suspects that are cleared by their next answers.
*/
export class CrashAttribution {
	readonly #timers: TimerService;
	readonly #quarantine: BlockQuarantine;
	readonly #onCrash: (report: CrashReport) => void;
	readonly #runs = new Map<EngineView, Set<Run>>();
	readonly #crashedAt = new WeakMap<EngineView, number>();
	/** By block, in the order of the last crash. */
	readonly #suspicions = new Map<string, Suspicion>();
	/** Monotonic times of the latest crashes, in milliseconds. */
	#crashTimes: readonly number[] = [];
	#recent: Array<{readonly run: Run; readonly endedAt: number}> = [];
	/** Generations on engines that have fallen silent and have not been heard since, and the monotonic time of the first silence, in milliseconds. */
	readonly #silences = new WeakMap<EngineView, {readonly since: number; readonly runs: Set<Run>}>();

	constructor(timers: TimerService, quarantine: BlockQuarantine, onCrash: (report: CrashReport) => void) {
		this.#timers = timers;
		this.#quarantine = quarantine;
		this.#onCrash = onCrash;
	}

	/** Lists the suspect blocks of a prompt. */
	listSuspects(blocks: readonly PrefixBlock[]): readonly string[] {
		return this.#listSuspectIds(listIds(blocks));
	}

	/**
	Selects the engines that a prompt with suspect blocks may run on: none while another run with one of them may still crash its engine, and
	else those without another suspect.
	*/
	selectEngines(views: readonly EngineView[], suspects: readonly string[]): readonly EngineView[] {
		const now = this.#timers.getNow();
		if (suspects.some(id => [...this.#suspicions.get(id)?.runs ?? []].some(run => isOnTrial(run, now)))) {
			return [];
		}

		const busy = new Set([...this.#suspicions.values()]
			.flatMap(suspicion => [...suspicion.runs].filter(run => (run.isTrial || isSuspect(suspicion)) && isOnTrial(run, now)))
			.flatMap(run => listEngines(run)));
		return views.filter(view => !busy.has(view));
	}

	/** Records that a generation was placed. */
	start(blocks: readonly PrefixBlock[], {prefillEngine, decodeEngine}: Pick<Run, 'prefillEngine' | 'decodeEngine'>): Run {
		const ids = listIds(blocks);
		const suspects = this.#listSuspectIds(ids);
		const now = this.#timers.getNow();
		const run: Run = {
			blocks: ids, prefillEngine, decodeEngine, isTrial: suspects.length > 0, startedAt: now, decodesFrom: prefillEngine ? undefined : now,
		};
		for (const view of listEngines(run)) {
			const runs = this.#runs.get(view) ?? new Set();
			this.#runs.set(view, runs.add(run));
		}

		for (const id of suspects) {
			// A block whose quarantine has ended need not be known here otherwise.
			this.#getSuspicion(id);
		}

		for (const id of ids) {
			this.#suspicions.get(id)?.runs.add(run);
		}

		return run;
	}

	/** Records how the prefill of a generation on another engine ended; `undefined` when that says nothing about the engine. */
	onPrefillEnd(run: Run, outcome: EngineOutcome | undefined): void {
		const {prefillEngine} = run;
		if (!prefillEngine || run.decodesFrom !== undefined) {
			return;
		}

		if (isCrash(outcome)) {
			this.#handleCrash(prefillEngine);
			this.#settleTrial(run, outcome);
		}

		run.decodesFrom = this.#timers.getNow();
		this.#removeRun(prefillEngine, run);
	}

	/** Records that the decode engine of a generation sends nothing, or that it goes on after that. */
	onSilence(run: Run, isSilent: boolean): void {
		run.isSilent = isSilent;
		if (!isSilent) {
			this.#silences.delete(run.decodeEngine);
			return;
		}

		const silence = this.#silences.get(run.decodeEngine) ?? {since: this.#timers.getNow(), runs: new Set()};
		this.#silences.set(run.decodeEngine, silence);
		if (silence.runs.size < maxSilentRuns) {
			silence.runs.add(run);
		}
	}

	/** Records that an engine is gone that was not leaving. If it had fallen silent and was not heard since, it has crashed: one whose VM is gone refuses no connection. */
	onEngineGone(engine: EngineView): void {
		const silence = this.#silences.get(engine);
		this.#silences.delete(engine);
		if (silence && (this.#crashedAt.get(engine) ?? Number.NEGATIVE_INFINITY) < silence.since) {
			this.#recordCrash(engine, [...silence.runs], silence.since);
		}
	}

	/** Records how a generation ended; `undefined` when that says nothing about the decode engine. */
	onEnd(run: Run, outcome: EngineOutcome | undefined): void {
		const now = this.#timers.getNow();
		if (isCrash(outcome)) {
			this.#handleCrash(run.decodeEngine);
		} else if (isSignOfLife(outcome)) {
			this.#silences.delete(run.decodeEngine);
		}

		this.#settleTrial(run, outcome);

		for (const view of listEngines(run)) {
			this.#removeRun(view, run);
		}

		for (const id of run.blocks) {
			this.#suspicions.get(id)?.runs.delete(run);
		}

		if (outcome === engineOutcome.answered) {
			this.#onAnswered(run.blocks, now);
		} else if (run.decodesFrom !== undefined && (outcome === undefined || outcome === engineOutcome.broken || outcome === engineOutcome.silent)) {
			this.#recent = [...this.#recent.filter(({endedAt}) => endedAt >= now - recentMs), {run, endedAt: now}].slice(-maxRecentRuns);
		}
	}

	#handleCrash(engine: EngineView): void {
		const now = this.#timers.getNow();
		if (now - (this.#crashedAt.get(engine) ?? Number.NEGATIVE_INFINITY) < sameCrashMs) {
			return;
		}

		this.#recordCrash(engine, this.#listRunsAt(engine, now), now);
	}

	/** Records a crash of an engine at `at`, with the generations that it was at work on. */
	#recordCrash(engine: EngineView, runs: readonly Run[], at: number): void {
		const now = this.#timers.getNow();
		this.#crashedAt.set(engine, now);
		const blocks = new Set(runs.flatMap(run => run.blocks));
		for (const id of blocks) {
			this.#countCrash(id, at);
		}

		const trials = runs.filter(({isTrial}) => isTrial);
		this.#crashTimes = [...this.#crashTimes.filter(at => at > now - otherCrashesMs), now].slice(-maxCrashes);
		const [trial] = trials;
		if (trial && trials.length === 1) {
			trial.isAtFault = true;
			if (!this.#runs.get(engine)?.has(trial)) {
				// Its caller left just before the crash.
				this.#settleTrial(trial, undefined);
			}
		}

		this.#evictSuspicions();
		this.#onCrash({engine, runs: runs.length, suspects: this.#listSuspectIds([...blocks])});
	}

	/** Lists the generations that an engine may have been at work on when it crashed. */
	#listRunsAt(engine: EngineView, now: number): Run[] {
		const recent = this.#recent.filter(({run, endedAt}) => run.decodeEngine === engine && endedAt >= now - recentMs).map(({run}) => run);
		const current = [...this.#runs.get(engine) ?? []].filter(run => run.prefillEngine === engine ? run.decodesFrom === undefined : run.decodesFrom !== undefined);
		return [...recent, ...current];
	}

	#countCrash(id: string, at: number): void {
		const now = this.#timers.getNow();
		// Other allocators grant requests with the block too: their answers count as well.
		this.#findSuspicion(id, now);
		const suspicion = this.#getSuspicion(id, now);
		suspicion.crashes++;
		suspicion.crashedAt = at;
		// Kept in the order of the last crash, for the eviction.
		this.#suspicions.delete(id);
		this.#suspicions.set(id, suspicion);
	}

	/**
	Puts blocks of a trial under quarantine whose engine crashed, unless nothing has been answered lately: a block that all prompts share would
	be blamed for whatever crashes engines. More crashes are needed for blocks that were answered shortly before, where the answer had begun, and
	where engines crash without the blocks too.
	*/
	#settleTrial(run: Run, outcome: EngineOutcome | undefined): void {
		if (!run.isAtFault) {
			return;
		}

		run.isAtFault = false;
		const now = this.#timers.getNow();
		if (outcome === engineOutcome.answered || !this.#quarantine.hasAnswers(now, otherCrashesMs)) {
			return;
		}

		const unproven = new Set(this.#quarantine.listUnproven(run.blocks, now));
		const blocks = run.blocks.filter(id => {
			const suspicion = this.#suspicions.get(id);
			if (!suspicion || unproven.has(id)) {
				return unproven.has(id);
			}

			const hasOtherCrashes = this.#crashTimes.length > suspicion.crashes;
			const needed = crashesToSuspect + 1 + (suspicion.wasProven ? furtherCrashesIfProven : 0) + (outcome === engineOutcome.crashed ? 0 : 1) + (hasOtherCrashes ? 1 : 0);
			return suspicion.crashes >= needed;
		});
		if (blocks.length > 0) {
			this.#quarantine.add(blocks, now);
		}
	}

	#onAnswered(blocks: readonly string[], now: number): void {
		for (const id of blocks) {
			this.#suspicions.delete(id);
		}

		this.#quarantine.onAnswered(blocks, now);
	}

	#listSuspectIds(ids: readonly string[]): readonly string[] {
		const now = this.#timers.getNow();
		const unproven = this.#quarantine.listUnproven(ids, now);
		return this.#suspicions.size === 0 && unproven.length === 0
			? []
			: ids.filter(id => unproven.includes(id) || isSuspect(this.#findSuspicion(id, now)));
	}

	/** Finds the suspicion of a block unless a prompt with it was answered since its last crash, or a run that has it has outlived every crash that it could have caused. */
	#findSuspicion(id: string, now: number): Suspicion | undefined {
		const suspicion = this.#suspicions.get(id);
		if (suspicion && (this.#quarantine.getAnsweredAt(id) > suspicion.crashedAt || [...suspicion.runs].some(({decodesFrom, isSilent}) => !isSilent && decodesFrom !== undefined && now - decodesFrom >= survivalMs))) {
			this.#suspicions.delete(id);
			return undefined;
		}

		return suspicion;
	}

	#getSuspicion(id: string, now = this.#timers.getNow()): Suspicion {
		let suspicion = this.#suspicions.get(id);
		if (!suspicion) {
			const runs = [...this.#runs.values()].flatMap(set => [...set]).filter(({blocks}) => blocks.includes(id));
			suspicion = {
				crashes: 0, wasProven: this.#quarantine.isProven(id, now), crashedAt: now, runs: new Set(runs),
			};
			this.#suspicions.set(id, suspicion);
		}

		return suspicion;
	}

	/** Drops suspicions beyond the bound: those of fewest crashes first, and of these the earliest. */
	#evictSuspicions(): void {
		if (this.#suspicions.size > maxSuspects) {
			const excess = [...this.#suspicions].toSorted(([, left], [, right]) => left.crashes - right.crashes).slice(0, this.#suspicions.size - maxSuspects);
			for (const [id] of excess) {
				this.#suspicions.delete(id);
			}
		}
	}

	#removeRun(view: EngineView, run: Run): void {
		const runs = this.#runs.get(view);
		runs?.delete(run);
		if (runs?.size === 0) {
			this.#runs.delete(view);
		}
	}
}

/** Tells whether a run may still crash its engine at `now`. */
function isOnTrial({startedAt, decodesFrom}: Run, now: number): boolean {
	return now - (decodesFrom ?? startedAt) < trialMs;
}

function isCrash(outcome: EngineOutcome | undefined): boolean {
	return outcome === engineOutcome.crashed || outcome === engineOutcome.crashedInAnswer;
}

function listEngines({prefillEngine, decodeEngine}: Run): readonly EngineView[] {
	return prefillEngine ? [prefillEngine, decodeEngine] : [decodeEngine];
}

function isSuspect(suspicion: Suspicion | undefined): boolean {
	return suspicion !== undefined && suspicion.crashes >= (suspicion.wasProven ? crashesToSuspectIfProven : crashesToSuspect);
}

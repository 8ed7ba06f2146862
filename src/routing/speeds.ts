import {engineRole} from '../deployment/index.js';
import type {EngineRole} from '../deployment/index.js';
import {LinearFit, PeakRate} from '../rates/index.js';
import type {LinearModel} from '../rates/index.js';
import type {TimerService} from '../timers/index.js';

/** Speeds of one kind of engine under its load of now, as lines in milliseconds. */
export type Speeds = {
	/** Time to the first token over the prompt tokens up to it. */
	readonly prefill: LinearModel;
	/** Time between two tokens of one answer over the number of answers being written. */
	readonly gap: LinearModel;
	/** Answers that it was seen to write at the same time. */
	readonly slots: number;
};

/** The most that one kind of engine was seen to do, in tokens a millisecond. */
export type PeakRates = {readonly prefill: number; readonly decode: number};

/** A first token: it took `waitMs`. */
export type FirstTokenSample = {
	/** Prompt tokens up to it, with all that are thought to have been ahead. */
	readonly tokens: number;
	/** Of these, the ones known for certain. */
	readonly certainTokens: number;
	readonly waitMs: number;
};

/** An answer's tokens came `gapMs` apart while `active` answers were being written. */
export type GapSample = {readonly gapMs: number; readonly active: number};

type Learned = {
	readonly prefill: LinearFit;
	readonly gap: LinearFit;
	readonly slots: PeakRate;
	readonly peakPrefill: PeakRate;
	readonly peakDecode: PeakRate;
	/** Answers that were written beside many others. */
	crowded: number;
	/** When something was last seen, on the monotonic clock. */
	at: number;
};

/** What an engine is taken for until something was seen of any. */
const firstGuess: Speeds = {prefill: {intercept: 20, slope: 0.05}, gap: {intercept: 10, slope: 0.5}, slots: 16};
const firstPeaks: PeakRates = {prefill: 20, decode: 1};
/** Times and rates of a role against those of a mixed engine, until the role was seen. */
const roleFactor: Record<EngineRole, {readonly prefill: number; readonly gap: number; readonly slots: number}> = {
	[engineRole.mixed]: {prefill: 1, gap: 1, slots: 1},
	[engineRole.prefill]: {prefill: 0.6, gap: 1, slots: 0.5},
	[engineRole.decode]: {prefill: 2, gap: 1, slots: 2},
};
const keptWeight = 0.98;
/** Age up to which an engine's own speeds count, in milliseconds. */
const longestAgeMs = 10_000;
/** Prompt tokens from which on a first token tells of prefill rather than of waiting. */
const longPrompt = 1000;
/** Observations after which an engine's own speeds are taken before those of its role. */
const ownCount = 20;
/** Observations after which a role's speeds are taken before a guess. */
const roleCount = 6;
/** Observations after which a role's own peaks are taken before a guess. */
const peakCount = 40;
const uncrowdedRoom = 1.5;
/** Answers written at the same time from which on an engine shows what it can do. */
const manyActive = 12;

/**
Speeds of engines learned from what requests saw. An engine that was seen seldom has the speeds of its role in its
service, and a role that was never seen has speeds guessed from another role's.
*/
export class SpeedTable {
	readonly #timers: TimerService;
	readonly #learned = new Map<string, Learned>();

	constructor(timers: TimerService) {
		this.#timers = timers;
	}

	/** Learns from a first token. */
	onFirstToken(service: string, engine: string, role: EngineRole, {tokens, certainTokens, waitMs}: FirstTokenSample): void {
		const now = this.#timers.getNow();
		for (const learned of this.#list(service, engine, role)) {
			learned.at = now;
			if (certainTokens >= longPrompt) {
				learned.peakPrefill.add(certainTokens, Math.max(1, waitMs), now);
			}

			if (tokens >= longPrompt || learned.peakPrefill.count === 0) {
				learned.prefill.add(tokens, waitMs);
			}
		}
	}

	/** Learns from the end of an answer. */
	onGap(service: string, engine: string, role: EngineRole, {gapMs, active}: GapSample): void {
		const now = this.#timers.getNow();
		for (const learned of this.#list(service, engine, role)) {
			learned.at = now;
			learned.gap.add(active, gapMs);
			learned.slots.add(active, 1, now);
			learned.peakDecode.add(active, Math.max(0.1, gapMs), now);
			learned.crowded += active >= manyActive ? 1 : 0;
		}
	}

	/** Reads the speeds of an engine in a role, from what is known best. */
	getSpeeds(service: string, engine: string, role: EngineRole): Speeds {
		const known = this.#learned.get(`${service}/${engine}/${role}`);
		// What was seen long ago is not held against an engine: it may have been slow and come back.
		const own = known && this.#timers.getNow() - known.at < longestAgeMs ? known : undefined;
		const ofRole = this.#getRoleSpeeds(service, role);
		return {
			prefill: own && own.prefill.count >= ownCount ? computePrefill(own.prefill) : ofRole.prefill,
			gap: own && own.gap.count >= ownCount ? computeGap(own.gap) : ofRole.gap,
			slots: ofRole.slots,
		};
	}

	/** Reads the most that a role was seen to do. */
	getPeaks(service: string, role: EngineRole): PeakRates {
		const now = this.#timers.getNow();
		const own = this.#learned.get(`${service}/${role}`);
		const prefill = this.#findRole(service, role, learned => learned.peakPrefill.count >= peakCount);
		const decode = this.#findRole(service, role, learned => learned.crowded >= peakCount) ?? this.#findRole(service, engineRole.mixed, learned => learned.peakDecode.count >= roleCount);
		const prefillFactor = roleFactor[prefill?.seen ?? engineRole.mixed].prefill / roleFactor[role].prefill;
		const decodeFactor = roleFactor[role].slots / roleFactor[decode?.seen ?? engineRole.mixed].slots;
		// Engines that never wrote many answers at the same time can write more than was seen of them.
		const room = decode && decode.learned.crowded < peakCount ? uncrowdedRoom : 1;
		return {
			prefill: Math.max(own?.peakPrefill.get(now) ?? 0, (prefill?.learned.peakPrefill.get(now) ?? firstPeaks.prefill) * prefillFactor),
			decode: Math.max(own?.peakDecode.get(now) ?? 0, (decode?.learned.peakDecode.get(now) ?? firstPeaks.decode) * decodeFactor * room),
		};
	}

	#getRoleSpeeds(service: string, role: EngineRole): Speeds {
		const prefill = this.#findRole(service, role, learned => learned.prefill.count >= roleCount);
		const gap = this.#findRole(service, role, learned => learned.gap.count >= roleCount);
		const prefillFactor = roleFactor[role].prefill / roleFactor[prefill?.seen ?? engineRole.mixed].prefill;
		const slotFactor = roleFactor[role].slots / roleFactor[gap?.seen ?? engineRole.mixed].slots;
		const slots = Math.max(firstGuess.slots, gap?.learned.slots.get(this.#timers.getNow()) ?? 0);
		return {
			prefill: computeTimes(prefill ? computePrefill(prefill.learned.prefill) : firstGuess.prefill, prefillFactor),
			gap: gap ? computeGap(gap.learned.gap) : firstGuess.gap,
			slots: slots * slotFactor,
		};
	}

	/** Finds what is known of a role, or else of another one. */
	#findRole(service: string, role: EngineRole, isKnown: (learned: Learned) => boolean): {readonly learned: Learned; readonly seen: EngineRole} | undefined {
		for (const seen of [role, ...Object.values(engineRole)]) {
			const learned = this.#learned.get(`${service}/${seen}`);
			if (learned && isKnown(learned)) {
				return {learned, seen};
			}
		}

		return undefined;
	}

	#list(service: string, engine: string, role: EngineRole): Learned[] {
		const own = `${service}/${engine}/${role}`;
		return [own, `${service}/${role}`].map(key => {
			const known = this.#learned.get(key);
			// An engine that was not seen for long may have been slow and come back: it is learned anew.
			const isStale = known !== undefined && key === own && this.#timers.getNow() - known.at >= longestAgeMs;
			const learned = known && !isStale ? known : createLearned();
			this.#learned.set(key, learned);
			return learned;
		});
	}
}

function createLearned(): Learned {
	return {
		prefill: new LinearFit(keptWeight), gap: new LinearFit(keptWeight), slots: new PeakRate(), peakPrefill: new PeakRate(), peakDecode: new PeakRate(), crowded: 0, at: 0,
	};
}

function computePrefill(fit: LinearFit): LinearModel {
	const {x, y} = fit.getMeans();
	const line = fit.computeModel();
	return line && line.slope > 0 ? line : {intercept: 0, slope: y / Math.max(1, x)};
}

function computeGap(fit: LinearFit): LinearModel {
	return fit.computeModel() ?? {intercept: fit.getMeans().y, slope: 0};
}

function computeTimes(line: LinearModel, factor: number): LinearModel {
	return {intercept: line.intercept * factor, slope: line.slope * factor};
}

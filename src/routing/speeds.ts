import {engineRole} from '../deployment/index.js';
import type {EngineRole} from '../deployment/index.js';
import {LinearFit, PeakRate} from '../rates/index.js';
import type {LinearModel} from '../rates/index.js';
import type {TimerService} from '../timers/index.js';

/** Speeds of one kind of engine under its load of now, as lines in milliseconds. */
export type EngineSpeeds = {
	/** Time to the first token over the prompt tokens up to it. */
	readonly prefill: LinearModel;
	/** Time between two tokens of one answer over the number of answers being written. */
	readonly tokenInterval: LinearModel;
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

/** An answer's tokens came `tokenIntervalMs` apart while `active` answers were being written. */
export type TokenIntervalSample = {readonly tokenIntervalMs: number; readonly decodeCount: number};

type LearnedSpeeds = {
	readonly prefill: LinearFit;
	readonly tokenInterval: LinearFit;
	readonly slots: PeakRate;
	readonly peakPrefill: PeakRate;
	readonly peakDecode: PeakRate;
	/** Answers that were written beside many others. */
	crowdedCount: number;
	/** When something was last seen, on the monotonic clock. */
	observedAt: number;
};

/** What an engine is taken for until something was seen of any. */
const defaultSpeeds: EngineSpeeds = {prefill: {intercept: 20, slope: 0.05}, tokenInterval: {intercept: 10, slope: 0.5}, slots: 16};
const defaultPeakRates: PeakRates = {prefill: 20, decode: 1};
/** Times and rates of a role against those of a mixed engine, until the role was seen. */
const roleFactors: Record<EngineRole, {readonly prefill: number; readonly gap: number; readonly slots: number}> = {
	[engineRole.mixed]: {prefill: 1, gap: 1, slots: 1},
	[engineRole.prefill]: {prefill: 0.6, gap: 1, slots: 0.5},
	[engineRole.decode]: {prefill: 2, gap: 1, slots: 2},
};
const decayFactor = 0.98;
/** Age up to which an engine's own speeds count, in milliseconds. */
const maxAgeMs = 10_000;
/** Prompt tokens from which on a first token tells of prefill rather than of waiting. */
const longPromptTokens = 1000;
/** Observations after which an engine's own speeds are taken before those of its role. */
const minEngineObservations = 20;
/** Observations after which a role's speeds are taken before a guess. */
const minRoleObservations = 6;
/** Observations after which a role's own peaks are taken before a guess. */
const minPeakObservations = 40;
const uncrowdedPeakFactor = 1.5;
/** Answers written at the same time from which on an engine shows what it can do. */
const crowdedDecodeCount = 12;

/**
Speeds of engines learned from what requests saw. An engine that was seen seldom has the speeds of its role in its
service, and a role that was never seen has speeds guessed from another role's.
*/
export class SpeedTable {
	readonly #timers: TimerService;
	readonly #learned = new Map<string, LearnedSpeeds>();

	constructor(timers: TimerService) {
		this.#timers = timers;
	}

	/** Learns from a first token. */
	onFirstToken(service: string, engine: string, role: EngineRole, {tokens, certainTokens, waitMs}: FirstTokenSample): void {
		const now = this.#timers.getNow();
		for (const learned of this.#listObserved(service, engine, role)) {
			learned.observedAt = now;
			if (certainTokens >= longPromptTokens) {
				learned.peakPrefill.add(certainTokens, Math.max(1, waitMs), now);
			}

			if (tokens >= longPromptTokens || learned.peakPrefill.count === 0) {
				learned.prefill.add(tokens, waitMs);
			}
		}
	}

	/** Learns from the end of an answer. */
	onTokenInterval(service: string, engine: string, role: EngineRole, {tokenIntervalMs, decodeCount}: TokenIntervalSample): void {
		const now = this.#timers.getNow();
		for (const learned of this.#listObserved(service, engine, role)) {
			learned.observedAt = now;
			learned.tokenInterval.add(decodeCount, tokenIntervalMs);
			learned.slots.add(decodeCount, 1, now);
			learned.peakDecode.add(decodeCount, Math.max(0.1, tokenIntervalMs), now);
			learned.crowdedCount += decodeCount >= crowdedDecodeCount ? 1 : 0;
		}
	}

	/** Reads the speeds of an engine in a role, from what is known best. */
	getSpeeds(service: string, engine: string, role: EngineRole): EngineSpeeds {
		const known = this.#learned.get(`${service}/${engine}/${role}`);
		// What was seen long ago is not held against an engine: it may have been slow and come back.
		const recent = known && this.#timers.getNow() - known.observedAt < maxAgeMs ? known : undefined;
		const roleSpeeds = this.#getRoleSpeeds(service, role);
		return {
			prefill: recent && recent.prefill.count >= minEngineObservations ? computePrefillModel(recent.prefill) : roleSpeeds.prefill,
			tokenInterval: recent && recent.tokenInterval.count >= minEngineObservations ? computeTokenIntervalModel(recent.tokenInterval) : roleSpeeds.tokenInterval,
			slots: roleSpeeds.slots,
		};
	}

	/** Reads the most that a role was seen to do. */
	getPeakRates(service: string, role: EngineRole): PeakRates {
		const now = this.#timers.getNow();
		const ofRole = this.#learned.get(`${service}/${role}`);
		const prefill = this.#findRole(service, role, learned => learned.peakPrefill.count >= minPeakObservations);
		const decode = this.#findRole(service, role, learned => learned.crowdedCount >= minPeakObservations)
			?? this.#findRole(service, engineRole.mixed, learned => learned.peakDecode.count >= minRoleObservations);
		const prefillFactor = roleFactors[prefill?.observedRole ?? engineRole.mixed].prefill / roleFactors[role].prefill;
		const decodeFactor = roleFactors[role].slots / roleFactors[decode?.observedRole ?? engineRole.mixed].slots;
		// Engines that never wrote many answers at the same time can write more than was seen of them.
		const peakFactor = decode && decode.learned.crowdedCount < minPeakObservations ? uncrowdedPeakFactor : 1;
		return {
			prefill: Math.max(ofRole?.peakPrefill.get(now) ?? 0, (prefill?.learned.peakPrefill.get(now) ?? defaultPeakRates.prefill) * prefillFactor),
			decode: Math.max(ofRole?.peakDecode.get(now) ?? 0, (decode?.learned.peakDecode.get(now) ?? defaultPeakRates.decode) * decodeFactor * peakFactor),
		};
	}

	#getRoleSpeeds(service: string, role: EngineRole): EngineSpeeds {
		const prefill = this.#findRole(service, role, learned => learned.prefill.count >= minRoleObservations);
		const tokenInterval = this.#findRole(service, role, learned => learned.tokenInterval.count >= minRoleObservations);
		const prefillFactor = roleFactors[role].prefill / roleFactors[prefill?.observedRole ?? engineRole.mixed].prefill;
		const slotFactor = roleFactors[role].slots / roleFactors[tokenInterval?.observedRole ?? engineRole.mixed].slots;
		const slots = Math.max(defaultSpeeds.slots, tokenInterval?.learned.slots.get(this.#timers.getNow()) ?? 0);
		return {
			prefill: computeScaledModel(prefill ? computePrefillModel(prefill.learned.prefill) : defaultSpeeds.prefill, prefillFactor),
			tokenInterval: tokenInterval ? computeTokenIntervalModel(tokenInterval.learned.tokenInterval) : defaultSpeeds.tokenInterval,
			slots: slots * slotFactor,
		};
	}

	/** Finds what is known of a role, or else of another one. */
	#findRole(
		service: string,
		role: EngineRole,
		isKnown: (learned: LearnedSpeeds) => boolean,
	): {readonly learned: LearnedSpeeds; readonly observedRole: EngineRole} | undefined {
		for (const observedRole of [role, ...Object.values(engineRole)]) {
			const learned = this.#learned.get(`${service}/${observedRole}`);
			if (learned && isKnown(learned)) {
				return {learned, observedRole};
			}
		}

		return undefined;
	}

	#listObserved(service: string, engine: string, role: EngineRole): LearnedSpeeds[] {
		const engineKey = `${service}/${engine}/${role}`;
		return [engineKey, `${service}/${role}`].map(key => {
			const known = this.#learned.get(key);
			// An engine that was not seen for long may have been slow and come back: it is learned anew.
			const isStale = known !== undefined && key === engineKey && this.#timers.getNow() - known.observedAt >= maxAgeMs;
			const learned = known && !isStale ? known : createLearnedSpeeds();
			this.#learned.set(key, learned);
			return learned;
		});
	}
}

function createLearnedSpeeds(): LearnedSpeeds {
	return {
		prefill: new LinearFit(decayFactor), tokenInterval: new LinearFit(decayFactor), slots: new PeakRate(), peakPrefill: new PeakRate(), peakDecode: new PeakRate(), crowdedCount: 0, observedAt: 0,
	};
}

function computePrefillModel(fit: LinearFit): LinearModel {
	const {x, y} = fit.getMeans();
	const model = fit.computeModel();
	return model && model.slope > 0 ? model : {intercept: 0, slope: y / Math.max(1, x)};
}

function computeTokenIntervalModel(fit: LinearFit): LinearModel {
	return fit.computeModel() ?? {intercept: fit.getMeans().y, slope: 0};
}

function computeScaledModel(model: LinearModel, factor: number): LinearModel {
	return {intercept: model.intercept * factor, slope: model.slope * factor};
}

import {engineRole} from '../deployment/index.js';
import type {EngineRole} from '../deployment/index.js';
import {LinearFit, PeakRate} from '../rates/index.js';
import type {LinearModel} from '../rates/index.js';
import type {TimerService} from '../timers/index.js';

/** Speeds of an engine, or of the engines of a role, under their present load: linear models that give milliseconds. */
export type EngineSpeeds = {
	/** Time to the first token by the prompt tokens to prefill until then. */
	readonly prefill: LinearModel;
	/** Time between two tokens of an answer by the number of answers being decoded. */
	readonly tokenInterval: LinearModel;
	/** Number of answers that were observed to be decoded at the same time. */
	readonly slots: number;
};

/** Highest observed rates of the engines of a role, in tokens per millisecond. */
export type PeakRates = {readonly prefill: number; readonly decode: number};

/** Observation of a first token that arrived after `waitMs`. */
export type FirstTokenSample = {
	/** Estimated prompt tokens that were prefilled in that time, those of earlier requests included. */
	readonly tokens: number;
	/** The part of `tokens` that is certain. */
	readonly certainTokens: number;
	readonly waitMs: number;
};

/** Observation of an answer whose tokens arrived `tokenIntervalMs` apart while `decodeCount` answers were being decoded. */
export type TokenIntervalSample = {readonly tokenIntervalMs: number; readonly decodeCount: number};

type LearnedSpeeds = {
	readonly prefill: LinearFit;
	readonly tokenInterval: LinearFit;
	readonly slots: PeakRate;
	readonly peakPrefill: PeakRate;
	readonly peakDecode: PeakRate;
	/** Number of answers observed while at least `crowdedDecodeCount` were being decoded. */
	crowdedCount: number;
	/** Monotonic time of the last observation, in milliseconds. */
	observedAt: number;
};

/** Speeds assumed until any engine of a service was observed. */
const defaultSpeeds: EngineSpeeds = {prefill: {intercept: 20, slope: 0.05}, tokenInterval: {intercept: 10, slope: 0.5}, slots: 16};
/** Peak rates assumed until any engine of a service was observed. */
const defaultPeakRates: PeakRates = {prefill: 20, decode: 1};
/** Assumed prefill time, token interval and slots of a role, relative to a mixed engine, until the role was observed. */
const roleFactors: Record<EngineRole, {readonly prefill: number; readonly tokenInterval: number; readonly slots: number}> = {
	[engineRole.mixed]: {prefill: 1, tokenInterval: 1, slots: 1},
	[engineRole.prefill]: {prefill: 0.6, tokenInterval: 1, slots: 0.5},
	[engineRole.decode]: {prefill: 2, tokenInterval: 1, slots: 2},
};
/** Share of their weight that earlier observations keep with each new one. */
const decayFactor = 0.98;
/** Maximum age of an engine's last observation for its own speeds to be used, in milliseconds. */
const maxAgeMs = 10_000;
/** Minimum prompt tokens for which the time to the first token measures prefill rather than waiting. */
const longPromptTokens = 1000;
/** Minimum number of observations for an engine's own speeds to be used instead of those of its role. */
const minEngineObservations = 20;
/** Minimum number of observations for a role's speeds to be used instead of those derived from another role. */
const minRoleObservations = 6;
/** Minimum number of observations for a role's peak rates to be used instead of those derived from another role. */
const minPeakObservations = 40;
/** Assumed ratio of the peak decode rate to the highest observed one, while no role was often observed with many answers at the same time. */
const uncrowdedPeakFactor = 1.5;
/** Number of answers decoded at the same time from which an engine shows its peak rate. */
const crowdedDecodeCount = 12;

/**
Speeds of engines, learned from the timing of requests. An engine with few observations is assumed to have the speeds of
its role in its service, and a role with few observations to have speeds derived from another role's.
*/
export class SpeedTable {
	readonly #timers: TimerService;
	readonly #learned = new Map<string, LearnedSpeeds>();

	constructor(timers: TimerService) {
		this.#timers = timers;
	}

	/** Adds an observation of a first token. */
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

	/** Adds an observation of the token interval of an answer that ended. */
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

	/** Returns the speeds of an engine in a role: its own when enough was observed lately, otherwise those of the role. */
	getSpeeds(service: string, engine: string, role: EngineRole): EngineSpeeds {
		const known = this.#learned.get(`${service}/${engine}/${role}`);
		// Old observations are not used: the engine may have been slow and have recovered.
		const recent = known && this.#timers.getNow() - known.observedAt < maxAgeMs ? known : undefined;
		const roleSpeeds = this.#getRoleSpeeds(service, role);
		return {
			prefill: recent && recent.prefill.count >= minEngineObservations ? computePrefillModel(recent.prefill) : roleSpeeds.prefill,
			tokenInterval: recent && recent.tokenInterval.count >= minEngineObservations ? computeTokenIntervalModel(recent.tokenInterval) : roleSpeeds.tokenInterval,
			slots: roleSpeeds.slots,
		};
	}

	/** Returns the peak rates of a role, derived from another role's while few observations of it exist. */
	getPeakRates(service: string, role: EngineRole): PeakRates {
		const now = this.#timers.getNow();
		const ofRole = this.#learned.get(`${service}/${role}`);
		const prefill = this.#findRole(service, role, learned => learned.peakPrefill.count >= minPeakObservations);
		const decode = this.#findRole(service, role, learned => learned.crowdedCount >= minPeakObservations)
			?? this.#findRole(service, engineRole.mixed, learned => learned.peakDecode.count >= minRoleObservations);
		const prefillFactor = roleFactors[prefill?.observedRole ?? engineRole.mixed].prefill / roleFactors[role].prefill;
		const decodeFactor = roleFactors[role].slots / roleFactors[decode?.observedRole ?? engineRole.mixed].slots;
		// Engines that were seldom observed with many answers at the same time can decode faster than observed.
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

	/** Finds what was learned of a role, or else of another one. */
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
			// An engine without recent observations may have been slow and have recovered: its speeds are learned anew.
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

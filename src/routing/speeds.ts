import {engineRole} from '../deployment/index.js';
import type {EngineRole} from '../deployment/index.js';
import {LineFit} from '../rates/index.js';
import type {Line} from '../rates/index.js';

/** Speeds of one kind of engine, as two lines in milliseconds. */
export type Speeds = {
	/** Time to the first token over the prompt tokens up to it. */
	readonly prefill: Line;
	/** Time between two tokens of one answer over the number of answers in progress. */
	readonly gap: Line;
};

type Learned = {readonly prefill: LineFit; readonly gap: LineFit};

/** What an engine is taken for until something was seen of any. */
const firstGuess: Speeds = {prefill: {base: 20, slope: 0.05}, gap: {base: 10, slope: 0.5}};
/** Times of a role against those of a mixed engine, until the role was seen. */
const roleFactor: Record<EngineRole, {readonly prefill: number; readonly gap: number}> = {
	[engineRole.mixed]: {prefill: 1, gap: 1},
	[engineRole.prefill]: {prefill: 0.67, gap: 2},
	[engineRole.decode]: {prefill: 2, gap: 0.67},
};
const keptWeight = 0.98;
/** Observations after which an engine's own speeds are taken before those of its role. */
const ownCount = 20;
/** Observations after which a role's speeds are taken before a guess. */
const roleCount = 3;

/**
Speeds of engines learned from what requests saw. An engine that was seen seldom has the speeds of its role in its
service, and a role that was never seen has speeds guessed from another role's.
*/
export class SpeedTable {
	readonly #learned = new Map<string, Learned>();

	/** Learns from a first token: `tokens` prompt tokens, with those ahead of them, took `waitMs`. */
	onFirstToken(service: string, engine: string, role: EngineRole, {tokens, waitMs}: {readonly tokens: number; readonly waitMs: number}): void {
		for (const learned of this.#list(service, engine, role)) {
			learned.prefill.add(tokens, waitMs);
		}
	}

	/** Learns from an answer whose tokens came `gapMs` apart while `running` answers were in progress. */
	onGap(service: string, engine: string, role: EngineRole, {gapMs, running}: {readonly gapMs: number; readonly running: number}): void {
		for (const learned of this.#list(service, engine, role)) {
			learned.gap.add(running, gapMs);
		}
	}

	/** Reads the speeds of an engine in a role, from what is known best. */
	getSpeeds(service: string, engine: string, role: EngineRole): Speeds {
		const own = this.#learned.get(`${service}/${engine}/${role}`);
		return {
			prefill: own && own.prefill.count >= ownCount ? computePrefill(own.prefill) : this.#getRolePrefill(service, role),
			gap: own && own.gap.count >= ownCount ? computeGap(own.gap) : this.#getRoleGap(service, role),
		};
	}

	/** Reads the speeds of a role in a service. */
	getRoleSpeeds(service: string, role: EngineRole): Speeds {
		return {prefill: this.#getRolePrefill(service, role), gap: this.#getRoleGap(service, role)};
	}

	#getRolePrefill(service: string, role: EngineRole): Line {
		for (const seen of listRoles(role)) {
			const fit = this.#learned.get(`${service}/${seen}`)?.prefill;
			if (fit && fit.count >= roleCount) {
				return computeTimes(computePrefill(fit), roleFactor[role].prefill / roleFactor[seen].prefill);
			}
		}

		return computeTimes(firstGuess.prefill, roleFactor[role].prefill);
	}

	#getRoleGap(service: string, role: EngineRole): Line {
		for (const seen of listRoles(role)) {
			const fit = this.#learned.get(`${service}/${seen}`)?.gap;
			if (fit && fit.count >= roleCount) {
				return computeTimes(computeGap(fit), roleFactor[role].gap / roleFactor[seen].gap);
			}
		}

		return computeTimes(firstGuess.gap, roleFactor[role].gap);
	}

	#list(service: string, engine: string, role: EngineRole): Learned[] {
		return [`${service}/${engine}/${role}`, `${service}/${role}`].map(key => {
			const learned = this.#learned.get(key) ?? {prefill: new LineFit(keptWeight), gap: new LineFit(keptWeight)};
			this.#learned.set(key, learned);
			return learned;
		});
	}
}

/** Lists a role and then the others. */
function listRoles(role: EngineRole): EngineRole[] {
	return [role, ...Object.values(engineRole).filter(other => other !== role)];
}

function computePrefill(fit: LineFit): Line {
	const {x, y} = fit.getMeans();
	const line = fit.computeLine();
	return line && line.slope > 0 ? line : {base: 0, slope: y / Math.max(1, x)};
}

function computeGap(fit: LineFit): Line {
	return fit.computeLine() ?? {base: fit.getMeans().y, slope: 0};
}

function computeTimes(line: Line, factor: number): Line {
	return {base: line.base * factor, slope: line.slope * factor};
}

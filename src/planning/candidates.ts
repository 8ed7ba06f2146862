import {engineRole} from '../deployment/index.js';
import type {EngineRole, ModelService} from '../deployment/index.js';
import {computeGoodput} from './capacity.js';
import type {EngineRates, TokenDemand} from './capacity.js';

/** An engine as planning sees it. */
export type PlannedEngine = {
	readonly id: string;
	readonly domain: string;
	readonly role: EngineRole;
	/** What it would do in each role. */
	readonly rates: Readonly<Record<EngineRole, EngineRates>>;
};

/** A possible change and what it is worth. */
export type Candidate = {
	readonly engine: PlannedEngine;
	readonly role: EngineRole;
	/** Parts of the demand answered in time before and after. */
	readonly before: number;
	readonly after: number;
	/** Gain less what is lost while the engine is away, as a part of the demand over the window. */
	readonly worth: number;
};

/** Steps in which worths are told apart, so that entries with slightly other figures rank alike. */
const worthStep = 0.02;

/**
Lists the changes of role that keep the service's floors, the most worthwhile first. The order is the same for all who
know the same facts.

@param awayShare - Part of the window for which an engine that changes is away.
*/
export function listCandidates(service: ModelService, engines: readonly PlannedEngine[], demand: TokenDemand, awayShare: number): Candidate[] {
	const before = computeGoodput(engines.map(engine => engine.rates[engine.role]), demand);
	const found: Candidate[] = [];
	for (const engine of engines) {
		const others = engines.filter(other => other !== engine);
		const rates = others.map(other => other.rates[other.role]);
		const without = computeGoodput(rates, demand);
		for (const role of Object.values(engineRole)) {
			if (role === engine.role || !isAboveFloor(service, [...others.map(other => other.role), role])) {
				continue;
			}

			const after = computeGoodput([...rates, engine.rates[role]], demand);
			const worth = ((after - before) * (1 - awayShare)) - ((before - without) * awayShare);
			found.push({
				engine, role, before, after, worth,
			});
		}
	}

	return found.toSorted(compareCandidates);
}

function isAboveFloor(service: ModelService, roles: readonly EngineRole[]): boolean {
	const prefill = roles.filter(role => role !== engineRole.decode).length;
	const decode = roles.filter(role => role !== engineRole.prefill).length;
	return prefill >= service.floor.prefill && decode >= service.floor.decode;
}

function compareCandidates(left: Candidate, right: Candidate): number {
	const byWorth = Math.round(right.worth / worthStep) - Math.round(left.worth / worthStep);
	return byWorth || `${left.engine.id} ${left.role}`.localeCompare(`${right.engine.id} ${right.role}`, 'en');
}

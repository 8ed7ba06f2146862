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
	/** Parts of its domain's demand answered in time before and after. */
	readonly before: number;
	readonly after: number;
	/** Gain less what is lost while the engine is away, as a part of the whole demand over the window. */
	readonly worth: number;
};

/** Steps in which worths are told apart, so that entries with slightly other figures rank alike. */
const worthStep = 0.01;

/** What changes of role are looked for in. */
export type Planned = {
	readonly service: ModelService;
	readonly engines: readonly PlannedEngine[];
	/** What each failure domain is asked for; its engines serve that. */
	readonly demands: ReadonlyMap<string, TokenDemand>;
	/** Part of the window for which an engine that changes is away. */
	readonly awayShare: number;
};

/**
Lists the changes of role that keep the service's floors, the most worthwhile first. The order is the same for all who
know the same facts.
*/
export function listCandidates(planned: Planned): Candidate[] {
	let total = 1;
	for (const demand of planned.demands.values()) {
		total += demand.prompt + demand.output;
	}

	return [...planned.demands]
		.flatMap(([domain, demand]) => listOfDomain(planned, domain, demand, (demand.prompt + demand.output) / total))
		.toSorted(compareCandidates);
}

function listOfDomain({service, engines, awayShare}: Planned, domain: string, demand: TokenDemand, weight: number): Candidate[] {
	const here = engines.filter(engine => engine.domain === domain);
	const before = computeGoodput(here.map(engine => engine.rates[engine.role]), demand);
	const found: Candidate[] = [];
	for (const engine of here) {
		const others = engines.filter(other => other !== engine).map(other => other.role);
		const rates = here.filter(other => other !== engine).map(other => other.rates[other.role]);
		const without = computeGoodput(rates, demand);
		for (const role of Object.values(engineRole)) {
			if (role === engine.role || !isAboveFloor(service, [...others, role])) {
				continue;
			}

			const after = computeGoodput([...rates, engine.rates[role]], demand);
			const worth = (((after - before) * (1 - awayShare)) - ((before - without) * awayShare)) * weight;
			found.push({
				engine, role, before, after, worth,
			});
		}
	}

	return found;
}

function isAboveFloor(service: ModelService, roles: readonly EngineRole[]): boolean {
	const prefill = roles.filter(role => role !== engineRole.decode).length;
	const decode = roles.filter(role => role !== engineRole.prefill).length;
	return prefill >= service.floor.prefill && decode >= service.floor.decode;
}

/** Puts the most worthwhile change first; worths that hardly differ are ranked by name. */
export function compareCandidates(left: Candidate, right: Candidate): number {
	const byWorth = Math.round(right.worth / worthStep) - Math.round(left.worth / worthStep);
	return byWorth || `${left.engine.id} ${left.role}`.localeCompare(`${right.engine.id} ${right.role}`, 'en');
}

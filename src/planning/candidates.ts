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
export type RoleChangeCandidate = {
	readonly engine: PlannedEngine;
	readonly role: EngineRole;
	/** Parts of its domain's demand answered in time before and after. */
	readonly goodputBefore: number;
	readonly goodputAfter: number;
	/** Gain less what is lost while the engine is away, as a part of the whole demand over the window. */
	readonly netGain: number;
};

/** Steps in which worths are told apart, so that entries with slightly other figures rank alike. */
const netGainStep = 0.01;

/** What changes of role are looked for in. */
export type PlanningInput = {
	readonly service: ModelService;
	readonly engines: readonly PlannedEngine[];
	/** What each failure domain is asked for; its engines serve that. */
	readonly demands: ReadonlyMap<string, TokenDemand>;
	/** Part of the window for which an engine that changes is away. */
	readonly unavailableShare: number;
};

/**
Lists the changes of role that keep the service's floors, the most worthwhile first. The order is the same for all who
know the same facts.
*/
export function listCandidates(input: PlanningInput): RoleChangeCandidate[] {
	let totalTokens = 1;
	for (const demand of input.demands.values()) {
		totalTokens += demand.prompt + demand.output;
	}

	return [...input.demands]
		.flatMap(([domain, demand]) => listDomainCandidates(input, domain, demand, (demand.prompt + demand.output) / totalTokens))
		.toSorted(compareCandidates);
}

function listDomainCandidates({service, engines, unavailableShare}: PlanningInput, domain: string, demand: TokenDemand, demandShare: number): RoleChangeCandidate[] {
	const domainEngines = engines.filter(engine => engine.domain === domain);
	const goodputBefore = computeGoodput(domainEngines.map(engine => engine.rates[engine.role]), demand);
	const candidates: RoleChangeCandidate[] = [];
	for (const engine of domainEngines) {
		const otherRoles = engines.filter(other => other !== engine).map(other => other.role);
		const otherRates = domainEngines.filter(other => other !== engine).map(other => other.rates[other.role]);
		const goodputWithout = computeGoodput(otherRates, demand);
		for (const role of Object.values(engineRole)) {
			if (role === engine.role || !isMinimumMet(service, [...otherRoles, role])) {
				continue;
			}

			const goodputAfter = computeGoodput([...otherRates, engine.rates[role]], demand);
			const netGain = (((goodputAfter - goodputBefore) * (1 - unavailableShare)) - ((goodputBefore - goodputWithout) * unavailableShare)) * demandShare;
			candidates.push({
				engine, role, goodputBefore, goodputAfter, netGain,
			});
		}
	}

	return candidates;
}

function isMinimumMet(service: ModelService, roles: readonly EngineRole[]): boolean {
	const prefillCount = roles.filter(role => role !== engineRole.decode).length;
	const decodeCount = roles.filter(role => role !== engineRole.prefill).length;
	return prefillCount >= service.floor.prefill && decodeCount >= service.floor.decode;
}

/** Puts the most worthwhile change first; worths that hardly differ are ranked by name. */
export function compareCandidates(left: RoleChangeCandidate, right: RoleChangeCandidate): number {
	const byNetGain = Math.round(right.netGain / netGainStep) - Math.round(left.netGain / netGainStep);
	return byNetGain || `${left.engine.id} ${left.role}`.localeCompare(`${right.engine.id} ${right.role}`, 'en');
}

import {engineRole} from '../deployment/index.js';
import type {EngineRole, ModelService} from '../deployment/index.js';
import {computeGoodput} from './capacity.js';
import type {EngineRates, TokenDemand} from './capacity.js';

/** What the planner knows of one engine. */
export type PlannedEngine = {
	readonly id: string;
	readonly domain: string;
	readonly role: EngineRole;
	/** Rates that the engine reaches, or would reach, in each role. */
	readonly rates: Readonly<Record<EngineRole, EngineRates>>;
};

/** A possible change of an engine's role, with its expected effect. */
export type RoleChangeCandidate = {
	readonly engine: PlannedEngine;
	readonly role: EngineRole;
	/** Share of the demand of the engine's domain that is answered in time before and after the change, 0 to 1. */
	readonly goodputBefore: number;
	readonly goodputAfter: number;
	/** Gain over the planning window less the loss while the engine is unavailable, as a share of the demand of all domains. */
	readonly netGain: number;
};

/** Net gains are compared in steps of this size, so that entries whose figures differ slightly rank candidates alike. */
const netGainStep = 0.01;

/** What the candidates for one service are computed from. */
export type PlanningInput = {
	readonly service: ModelService;
	readonly engines: readonly PlannedEngine[];
	/** Demand of each failure domain, which the engines of that domain serve. */
	readonly demands: ReadonlyMap<string, TokenDemand>;
	/** Share of the planning window for which an engine that changes its role is unavailable. */
	readonly unavailableShare: number;
};

/**
Lists the role changes that keep the service's minimum number of engines for prefill and for decode, highest net gain
first. The order follows from the input alone, so all entries that know the same facts get the same one.
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

/** Orders by net gain, highest first; candidates whose net gains hardly differ are ordered by engine id and role. */
export function compareCandidates(left: RoleChangeCandidate, right: RoleChangeCandidate): number {
	const byNetGain = Math.round(right.netGain / netGainStep) - Math.round(left.netGain / netGainStep);
	return byNetGain || `${left.engine.id} ${left.role}`.localeCompare(`${right.engine.id} ${right.role}`, 'en');
}

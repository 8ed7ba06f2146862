import type {Upstream} from '../deployment/index.js';
import type {RandomSource} from '../rates/index.js';
import type {TimerService} from '../timers/index.js';
import type {PrefixTable} from './affinity.js';
import type {Choice, Scored} from './choice.js';
import {computeEstimate} from './estimate.js';
import type {Estimate} from './estimate.js';
import type {Flights} from './flights.js';
import type {HealthTable} from './health.js';
import type {EnginePicture} from './picture.js';
import type {SpeedTable} from './speeds.js';
import type {Placement, Work} from './types.js';
import type {FleetView} from './views.js';

/** A place for a request, with what is expected there. */
export type Place = {readonly placement: Placement; readonly estimate: Estimate};

/** What a placer looks at. */
export type PlacerParts = {
	readonly timers: TimerService;
	readonly random: RandomSource;
	readonly view: FleetView;
	readonly choice: Choice;
	readonly speeds: SpeedTable;
	readonly health: HealthTable;
	readonly prefixes: PrefixTable;
	readonly flights: Flights;
	readonly getPicture: (upstream: string) => EnginePicture;
};

/** Weight of the time that a prompt costs each answer in progress, against the request's own time. */
const harmWeight = 1;
/** Part of its cost that the home of an unknown prefix is favoured by. */
const homeShare = 0.1;
/** Shortest prompt for which prefill and decode are set apart, in tokens, and the gain asked for. */
const shortestApart = 1000;
const apartGain = 0.9;
/** What one more entry on the way costs, in milliseconds, and the part of the time left that may be used up there. */
const relayMs = 10;
const usableShare = 0.8;

type Candidate = {readonly engine: Upstream; readonly estimate: Estimate};

/** Finds the place where a request is expected to end soonest with the least harm to others. */
export class Placer {
	readonly #parts: PlacerParts;

	constructor(parts: PlacerParts) {
		this.#parts = parts;
	}

	/** Chooses a place in this failure domain, if an engine there takes the request. */
	chooseHere(work: Work, excluded: ReadonlySet<string>): Place | undefined {
		const {view, choice} = this.#parts;
		const candidates = this.#listCandidates(work, excluded, engine => engine.domain === view.domain);
		if (candidates.length === 0) {
			return undefined;
		}

		const {candidate, cost} = choice.choose(candidates.map(candidate => this.#computeCost(work, candidate)));
		const whole = {placement: {upstream: candidate.engine}, estimate: candidate.estimate};
		return this.#chooseApart(work, candidates, cost) ?? whole;
	}

	/** Chooses a place in another failure domain where the request is expected to be in time, if there is one. */
	chooseElsewhere(work: Work, excluded: ReadonlySet<string>): Place | undefined {
		const {view, choice, timers, random, getPicture} = this.#parts;
		const leftMs = (work.due - timers.getNow()) * usableShare;
		const candidates = this.#listCandidates(work, excluded, engine => engine.domain !== view.domain)
			.filter(({engine, estimate}) => estimate.endMs + relayMs < leftMs && getPicture(engine.id).report !== undefined)
			.filter(({engine}) => view.listMembers(engine.domain).length > 0);
		if (candidates.length === 0) {
			return undefined;
		}

		const {candidate: {engine, estimate}} = choice.choose(candidates.map(candidate => this.#computeCost(work, candidate)));
		const members = view.listMembers(engine.domain);
		return {placement: {upstream: engine, via: members[random.pickIndex(members.length)]!.http}, estimate};
	}

	/** Computes the time until an engine of the service may be tried again, in milliseconds. */
	computeWaitMs(service: string): number {
		const waits = this.#parts.view.listUpstreams(service).map(engine => this.#parts.health.computeWaitMs(engine.id)).filter(wait => wait > 0);
		return waits.length > 0 ? Math.min(...waits) : 0;
	}

	#listCandidates(work: Work, excluded: ReadonlySet<string>, isWanted: (engine: Upstream) => boolean): Candidate[] {
		const {view, health} = this.#parts;
		return view.listUpstreams(work.service)
			.filter(engine => isWanted(engine) && !excluded.has(engine.id) && view.isOpen(engine.id) && view.isMatching(engine.id, work) && health.isUsable(engine.id))
			.map(engine => ({engine, estimate: this.#computeEstimate(engine, work)}));
	}

	#computeEstimate(engine: Upstream, work: Work): Estimate {
		const {view, speeds, prefixes, flights, timers, getPicture} = this.#parts;
		const known = speeds.getSpeeds(work.service, engine.id, view.getRole(engine.id));
		const backlog = getPicture(engine.id).computeBacklog(timers.getNow(), 1 / known.prefill.slope, view.countEntries());
		const prefillTokens = work.promptTokens * (1 - prefixes.computeShare(engine.id, work.prefixes));
		return computeEstimate({
			backlog, speeds: known, prefillTokens, outputTokens: flights.computeOutput(work),
		});
	}

	#computeCost(work: Work, candidate: Candidate): Scored<Candidate> {
		const {engine, estimate} = candidate;
		const lateMs = Math.max(0, estimate.firstMs - (work.firstTokenDue - this.#parts.timers.getNow()));
		const harmMs = estimate.aloneFirstMs * estimate.ahead.running * harmWeight;
		const homeMs = estimate.aloneFirstMs * homeShare * this.#parts.prefixes.computeNearness(engine.id, work.prefixes);
		return {candidate, cost: estimate.endMs + lateMs + harmMs - homeMs};
	}

	/** Chooses one engine to prefill and another to decode, where that costs clearly less than one for both. */
	#chooseApart(work: Work, candidates: readonly Candidate[], wholeCost: number): Place | undefined {
		if (work.promptTokens < shortestApart || candidates.length < 2) {
			return undefined;
		}

		const transferMs = this.#parts.flights.computeTransferMs(work.promptTokens);
		const prefill = findLeast(candidates, ({estimate}) => estimate.firstMs + (estimate.aloneFirstMs * estimate.ahead.running * harmWeight));
		const decode = findLeast(candidates.filter(({engine}) => engine.id !== prefill.engine.id), ({estimate}) => estimate.gapMs);
		const firstMs = prefill.estimate.firstMs + transferMs;
		const endMs = firstMs + (this.#parts.flights.computeOutput(work) * decode.estimate.gapMs);
		const lateMs = Math.max(0, firstMs - (work.firstTokenDue - this.#parts.timers.getNow()));
		const harmMs = prefill.estimate.aloneFirstMs * prefill.estimate.ahead.running * harmWeight;
		if (endMs + lateMs + harmMs > wholeCost * apartGain) {
			return undefined;
		}

		return {
			placement: {upstream: decode.engine, prefill: prefill.engine},
			estimate: {
				...prefill.estimate, firstMs, endMs, gapMs: decode.estimate.gapMs, ahead: {...prefill.estimate.ahead, running: decode.estimate.ahead.running},
			},
		};
	}
}

function findLeast(candidates: readonly Candidate[], computeCost: (candidate: Candidate) => number): Candidate {
	return candidates.toSorted((left, right) => computeCost(left) - computeCost(right))[0]!;
}

import type {Upstream} from '../deployment/index.js';
import type {FactTable} from '../feed/index.js';
import {upstreamState} from '../feed/index.js';
import {NotRunError, refusalReason} from '../errors/index.js';
import {Router} from './types.js';
import type {Placement, RoutingRequest} from './types.js';

/** Chooses the upstream with the fewest requests in progress from this entry. It refuses a request only when no upstream is available. */
export class LeastInFlightRouter extends Router {
	readonly #inFlight = new Map<string, number>();
	readonly #facts: FactTable;
	readonly #listUpstreams: (service: string) => readonly Upstream[];

	constructor(facts: FactTable, listUpstreams: (service: string) => readonly Upstream[]) {
		super();
		this.#facts = facts;
		this.#listUpstreams = listUpstreams;
	}

	choosePlacement(request: RoutingRequest, excluded: ReadonlySet<string>): Placement {
		return {upstream: this.chooseInstance(request.service, excluded)};
	}

	chooseInstance(service: string, excluded: ReadonlySet<string>): Upstream {
		const available = this.#listUpstreams(service).filter(upstream => !excluded.has(upstream.id) && this.isAvailable(upstream.id));
		const chosen = this.pickAvailable(available);
		if (!chosen) {
			throw new NotRunError(`no upstream of ${service} takes work`, {props: {reason: refusalReason.noUpstream}});
		}

		return chosen;
	}

	tryRetry(): boolean {
		return true;
	}

	onSent(_request: RoutingRequest, placement: Placement): void {
		this.onCallSent(placement.upstream.id);
	}

	onTokens(): void {
		// Tokens don't affect the choice.
	}

	onEnd(_request: RoutingRequest, placement: Placement): void {
		this.onCallEnd(placement.upstream.id);
	}

	onCallSent(upstream: string): void {
		this.#inFlight.set(upstream, this.countInFlight(upstream) + 1);
	}

	onCallEnd(upstream: string): void {
		this.#inFlight.set(upstream, this.countInFlight(upstream) - 1);
	}

	isAvailable(upstream: string): boolean {
		const fact = this.#facts.get('upstream', upstream);
		return fact === undefined || fact.value.state === upstreamState.serving;
	}

	countInFlight(upstream: string): number {
		return this.#inFlight.get(upstream) ?? 0;
	}

	/** Picks one of the available upstreams; `undefined` when there are none. */
	protected pickAvailable(available: readonly Upstream[]): Upstream | undefined {
		return available.toSorted((left, right) => this.countInFlight(left.id) - this.countInFlight(right.id))[0];
	}
}

/** Chooses the upstreams in turn: a baseline to compare other routers with. */
export class RoundRobinRouter extends LeastInFlightRouter {
	#pickCount = 0;

	protected override pickAvailable(available: readonly Upstream[]): Upstream | undefined {
		this.#pickCount++;
		return available[this.#pickCount % Math.max(1, available.length)];
	}
}

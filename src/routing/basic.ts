import type {Upstream} from '../deployment/index.js';
import type {FactTable} from '../feed/index.js';
import {upstreamState} from '../feed/index.js';
import {NotRunError, refusalReason} from '../errors/index.js';
import {Router} from './types.js';
import type {Placement, Work} from './types.js';

/** Chooses the upstream with the fewest of this entry's own requests; refuses nothing else. */
export class LeastInFlightRouter extends Router {
	readonly #running = new Map<string, number>();
	readonly #facts: FactTable;
	readonly #listUpstreams: (service: string) => readonly Upstream[];

	constructor(facts: FactTable, listUpstreams: (service: string) => readonly Upstream[]) {
		super();
		this.#facts = facts;
		this.#listUpstreams = listUpstreams;
	}

	choosePlacement(work: Work, excluded: ReadonlySet<string>): Placement {
		return {upstream: this.chooseInstance(work.service, excluded)};
	}

	chooseInstance(service: string, excluded: ReadonlySet<string>): Upstream {
		const open = this.#listUpstreams(service).filter(upstream => !excluded.has(upstream.id) && this.isOpen(upstream.id));
		const first = this.pickOpen(open);
		if (!first) {
			throw new NotRunError(`no upstream of ${service} takes work`, {props: {reason: refusalReason.noUpstream}});
		}

		return first;
	}

	tryRetry(): boolean {
		return true;
	}

	onSent(_work: Work, placement: Placement): void {
		this.onCallSent(placement.upstream.id);
	}

	onTokens(): void {
		// This policy does not look at tokens.
	}

	onEnd(_work: Work, placement: Placement): void {
		this.onCallEnd(placement.upstream.id);
	}

	onCallSent(upstream: string): void {
		this.#running.set(upstream, this.countRunning(upstream) + 1);
	}

	onCallEnd(upstream: string): void {
		this.#running.set(upstream, this.countRunning(upstream) - 1);
	}

	isOpen(upstream: string): boolean {
		const fact = this.#facts.get('upstream', upstream);
		return fact === undefined || fact.value.state === upstreamState.serving;
	}

	countRunning(upstream: string): number {
		return this.#running.get(upstream) ?? 0;
	}

	/** Picks one of the upstreams that take work. */
	protected pickOpen(open: readonly Upstream[]): Upstream | undefined {
		return open.toSorted((left, right) => this.countRunning(left.id) - this.countRunning(right.id))[0];
	}
}

/** Chooses the upstreams in turn; for comparison. */
export class RoundRobinRouter extends LeastInFlightRouter {
	#turn = 0;

	protected override pickOpen(open: readonly Upstream[]): Upstream | undefined {
		this.#turn++;
		return open[this.#turn % Math.max(1, open.length)];
	}
}

import {serviceKind} from '../deployment/index.js';
import type {Upstream} from '../deployment/index.js';
import type {FactTable} from '../feed/index.js';
import type {Metrics} from '../metrics/index.js';
import {selectOwners} from '../rates/index.js';
import type {FleetView, PrefixCacheIndex} from '../routing/index.js';
import type {Timer, TimerService} from '../timers/index.js';
import type {EngineClient, LoadReport} from '../upstreams/index.js';

const pollIntervalMs = 1000;
/** Time after which an unchanged load is published again, in milliseconds. */
const republishIntervalMs = 5000;
/** Relative change of a load above which it is published without waiting for that time. */
const minRelativeChange = 0.1;

/** Dependencies of {@link LoadCollector}. */
export type LoadCollectorDependencies = {
	readonly timers: TimerService;
	readonly facts: FactTable;
	readonly view: FleetView;
	readonly prefixes: PrefixCacheIndex;
	readonly metrics: Metrics;
	/** Name of this entry's VM. */
	readonly vm: string;
	readonly getEngine: (upstream: Upstream) => EngineClient;
};

type PollState = {
	isPolling: boolean;
	published?: LoadReport;
	publishedAt: number;
	incarnation: number;
	lastCacheSequence: number;
};

/**
Polls the loads and cache events of the engines assigned to this entry, and publishes loads that changed to the other
entries. Each engine of the failure domain is assigned to exactly one of the domain's entries, by rendezvous hashing.
*/
export class LoadCollector {
	readonly #dependencies: LoadCollectorDependencies;
	readonly #pollStates = new Map<string, PollState>();

	constructor(dependencies: LoadCollectorDependencies) {
		this.#dependencies = dependencies;
	}

	/** Starts polling; cancelling the returned timer stops it. */
	start(): Timer {
		return this.#dependencies.timers.startInterval(pollIntervalMs, () => {
			void this.collect();
		});
	}

	/** Polls every engine assigned to this entry once, unless its previous poll is still in progress. */
	async collect(): Promise<void> {
		const assigned = this.#listAssignedUpstreams();
		const ids = new Set(assigned.map(({id}) => id));
		for (const id of this.#pollStates.keys()) {
			if (!ids.has(id)) {
				this.#pollStates.delete(id);
			}
		}

		await Promise.all(assigned.map(async upstream => this.#pollEngine(upstream)));
	}

	#listAssignedUpstreams(): Upstream[] {
		const {view, vm} = this.#dependencies;
		const vms = [...new Set([vm, ...view.listLiveMembers(view.domain).map(member => member.vm)])];
		const modelServices = new Set(view.deployment?.services.filter(service => service.kind === serviceKind.model).map(service => service.name));
		return view.deployment?.upstreams.filter(upstream => upstream.domain === view.domain && modelServices.has(upstream.service)
			&& selectOwners(upstream.id, vms, 1)[0] === vm) ?? [];
	}

	async #pollEngine(upstream: Upstream): Promise<void> {
		const pollState = this.#pollStates.get(upstream.id) ?? {
			isPolling: false, publishedAt: 0, incarnation: 0, lastCacheSequence: 0,
		};
		this.#pollStates.set(upstream.id, pollState);
		if (pollState.isPolling) {
			return;
		}

		pollState.isPolling = true;
		try {
			const engine = this.#dependencies.getEngine(upstream);
			this.#onLoad(upstream.id, pollState, await engine.readLoad());
			const {incarnation, events} = await engine.readCacheEvents(pollState.lastCacheSequence);
			if (incarnation === pollState.incarnation) {
				this.#onCacheEvents(upstream.id, pollState, events);
			}
		} catch {
			// No load is published for an engine that does not answer; requests sent to it show that it has failed.
			this.#dependencies.metrics.count('dropped', 'load_unread');
		} finally {
			pollState.isPolling = false;
		}
	}

	#onLoad(id: string, pollState: PollState, report: LoadReport): void {
		if (report.incarnation !== pollState.incarnation) {
			pollState.incarnation = report.incarnation;
			pollState.lastCacheSequence = 0;
			this.#dependencies.prefixes.forget(id);
		}

		const now = this.#dependencies.timers.getNow();
		if (pollState.published && now - pollState.publishedAt < republishIntervalMs && !isSignificantChange(pollState.published, report)) {
			return;
		}

		pollState.published = report;
		pollState.publishedAt = now;
		const {timers, facts} = this.#dependencies;
		// Versions follow the wall clock, so that they keep rising when another entry publishes this engine's load next.
		const version = Math.max(Math.round(timers.getWallTime()), (facts.get('load', id)?.version ?? 0) + 1);
		facts.merge({
			kind: 'load', key: id, version, value: report,
		});
	}

	#onCacheEvents(id: string, pollState: PollState, events: ReadonlyArray<{readonly sequence: number; readonly kind: 'stored' | 'evicted'; readonly prefix: string}>): void {
		for (const event of events) {
			pollState.lastCacheSequence = Math.max(pollState.lastCacheSequence, event.sequence);
			if (event.kind === 'stored') {
				this.#dependencies.prefixes.add(id, [event.prefix]);
			} else {
				this.#dependencies.prefixes.remove(id, event.prefix);
			}
		}
	}
}

function isSignificantChange(published: LoadReport, report: LoadReport): boolean {
	return report.incarnation !== published.incarnation || report.role !== published.role
		|| (['running', 'waiting', 'prefillTokens', 'decodeTokens', 'piecesUsed'] as const).some(field => Math.abs(report[field] - published[field]) > published[field] * minRelativeChange);
}

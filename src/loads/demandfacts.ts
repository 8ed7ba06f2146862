import type {DemandFact, FactTable} from '../feed/index.js';
import {selectOwners} from '../rates/index.js';
import type {FleetView} from '../routing/index.js';
import type {Timer, TimerService} from '../timers/index.js';
import type {DemandMeter} from './demandmeter.js';

const publishIntervalMs = 2000;
/** Time after which an unchanged demand is published again, in milliseconds. */
const republishIntervalMs = 20_000;
/** Relative change of a demand above which it is published without waiting for that time. */
const minRelativeChange = 0.1;
/** Age above which a received demand is dropped, in milliseconds. */
const maxDemandAgeMs = 50_000;
/** Maximum number of entries of a failure domain that publish their demand; in a larger domain they represent all of its entries. */
const maxReporters = 4;

/** Dependencies of {@link DemandReporter} and {@link DemandView}. */
export type DemandDependencies = {
	readonly timers: TimerService;
	readonly facts: FactTable;
	readonly view: FleetView;
	/** Name of this entry's VM. */
	readonly vm: string;
};

/**
Publishes the demand offered to this entry to the other entries, as facts with keys `domain/service/vm`. In a large
domain only a few entries publish theirs, chosen by rendezvous hashing: the balancer spreads callers evenly, so they
represent the others.
*/
export class DemandReporter {
	readonly #dependencies: DemandDependencies;
	readonly #meter: DemandMeter;
	readonly #published = new Map<string, {readonly value: DemandFact; readonly at: number}>();

	constructor(dependencies: DemandDependencies, meter: DemandMeter) {
		this.#dependencies = dependencies;
		this.#meter = meter;
	}

	/** Starts to publish at intervals; cancelling the returned timer stops it. */
	start(): Timer {
		return this.#dependencies.timers.startInterval(publishIntervalMs, () => {
			this.publish();
		});
	}

	/** Publishes the demand for each service where it has changed enough or was not published for long. */
	publish(): void {
		const {view, vm, timers, facts} = this.#dependencies;
		const vms = view.listLiveMembers(view.domain).map(member => member.vm);
		if (vms.length > maxReporters && !selectOwners(view.domain, vms, maxReporters).includes(vm)) {
			return;
		}

		const now = timers.getNow();
		for (const service of this.#meter.listServices()) {
			const value = this.#meter.compute(service);
			const published = this.#published.get(service);
			if (published && now - published.at < republishIntervalMs && !isSignificantChange(published.value, value)) {
				continue;
			}

			this.#published.set(service, {value, at: now});
			const key = `${view.domain}/${service}/${vm}`;
			// Versions follow the wall clock, so that they keep rising when this process restarts.
			const version = Math.max(Math.round(timers.getWallTime()), (facts.get('demand', key)?.version ?? 0) + 1);
			facts.merge({
				kind: 'demand', key, version, value: toRounded(value),
			});
		}
	}
}

/** The demand of all failure domains, as far as it was published lately. */
export class DemandView {
	readonly #dependencies: DemandDependencies;
	readonly #receivedAt = new Map<string, number>();

	constructor(dependencies: DemandDependencies) {
		this.#dependencies = dependencies;
		dependencies.facts.subscribe(fact => {
			if (fact.kind === 'demand') {
				this.#receivedAt.set(fact.key, dependencies.timers.getNow());
			}
		});
	}

	/** Drops stale facts and computes the demand for a service, in `wantedDomain` or, if that is absent, in all domains. */
	compute(service: string, wantedDomain?: string): DemandFact {
		const {facts, view} = this.#dependencies;
		this.#forgetStale();
		const sum = {requestsPerSecond: 0, promptTokensPerSecond: 0, outputTokensPerSecond: 0};
		const reporterCounts = this.#countReporters(service);
		for (const {key, value} of facts.list('demand')) {
			const [domain = '', name] = key.split('/');
			if (name !== service || (wantedDomain !== undefined && wantedDomain !== domain)) {
				continue;
			}

			const entryCount = view.listLiveMembers(domain).length;
			const scaleFactor = entryCount > maxReporters ? entryCount / (reporterCounts.get(domain) ?? 1) : 1;
			sum.requestsPerSecond += value.requestsPerSecond * scaleFactor;
			sum.promptTokensPerSecond += value.promptTokensPerSecond * scaleFactor;
			sum.outputTokensPerSecond += value.outputTokensPerSecond * scaleFactor;
		}

		return sum;
	}

	#countReporters(service: string): Map<string, number> {
		const counts = new Map<string, number>();
		for (const {key} of this.#dependencies.facts.list('demand')) {
			const [domain = '', name] = key.split('/');
			if (name === service) {
				counts.set(domain, (counts.get(domain) ?? 0) + 1);
			}
		}

		return counts;
	}

	#forgetStale(): void {
		const now = this.#dependencies.timers.getNow();
		for (const [key, at] of this.#receivedAt) {
			if (now - at > maxDemandAgeMs) {
				this.#receivedAt.delete(key);
				this.#dependencies.facts.forget('demand', key);
			}
		}
	}
}

function isSignificantChange(published: DemandFact, value: DemandFact): boolean {
	return (['requestsPerSecond', 'promptTokensPerSecond', 'outputTokensPerSecond'] as const)
		.some(field => Math.abs(value[field] - published[field]) > Math.max(1, published[field]) * minRelativeChange);
}

function toRounded(value: DemandFact): DemandFact {
	return {
		requestsPerSecond: Math.round(value.requestsPerSecond * 10) / 10,
		promptTokensPerSecond: Math.round(value.promptTokensPerSecond),
		outputTokensPerSecond: Math.round(value.outputTokensPerSecond),
	};
}

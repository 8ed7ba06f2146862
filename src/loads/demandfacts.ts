import type {DemandFact, FactTable} from '../feed/index.js';
import {selectOwners} from '../rates/index.js';
import type {FleetView} from '../routing/index.js';
import type {Timer, TimerService} from '../timers/index.js';
import type {DemandMeter} from './demandmeter.js';

const publishIntervalMs = 2000;
/** Time after which a demand that did not change is told again, in milliseconds. */
const republishIntervalMs = 20_000;
/** Change that is worth telling, as a part. */
const minRelativeChange = 0.1;
/** Age from which a told demand no longer counts, in milliseconds. */
const maxDemandAgeMs = 50_000;
/** Entries of a failure domain that tell their demand; in a larger one these stand for all. */
const maxReporters = 4;

/** What demand is told and read with. */
export type DemandDependencies = {
	readonly timers: TimerService;
	readonly facts: FactTable;
	readonly view: FleetView;
	/** Name of this entry's VM. */
	readonly vm: string;
};

/**
Tells the other entries what work was offered here, as a fact under `domain/service/vm`. In a large domain only a few
entries tell, chosen by rendezvous hash, since the balancer spreads callers evenly.
*/
export class DemandReporter {
	readonly #dependencies: DemandDependencies;
	readonly #meter: DemandMeter;
	readonly #published = new Map<string, {readonly value: DemandFact; readonly at: number}>();

	constructor(dependencies: DemandDependencies, meter: DemandMeter) {
		this.#dependencies = dependencies;
		this.#meter = meter;
	}

	/** Begins to tell. */
	start(): Timer {
		return this.#dependencies.timers.startInterval(publishIntervalMs, () => {
			this.publish();
		});
	}

	/** Tells what has changed. */
	publish(): void {
		const {view, vm, timers, facts} = this.#dependencies;
		const vms = view.listMembers(view.domain).map(member => member.vm);
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
			// The wall clock carries the version over a restart of this process.
			const version = Math.max(Math.round(timers.getWallTime()), (facts.get('demand', key)?.version ?? 0) + 1);
			facts.merge({
				kind: 'demand', key, version, value: toRounded(value),
			});
		}
	}
}

/** What all failure domains ask for, as far as it was told lately. */
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

	/** Computes the demand for a service, in one domain or over all, and drops what is stale. */
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

			const entryCount = view.listMembers(domain).length;
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

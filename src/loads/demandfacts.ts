import type {DemandFact, FactTable} from '../feed/index.js';
import {selectOwners} from '../rates/index.js';
import type {FleetView} from '../routing/index.js';
import type {Timer, TimerService} from '../timers/index.js';
import type {DemandMeter} from './demand.js';

const publishPeriodMs = 2000;
/** Time after which a demand that did not change is told again, in milliseconds. */
const repeatMs = 20_000;
/** Change that is worth telling, as a part. */
const worthTelling = 0.1;
/** Age from which a told demand no longer counts, in milliseconds. */
const staleMs = 50_000;
/** Entries of a failure domain that tell their demand; in a larger one these stand for all. */
const mostTellers = 4;

/** What demand is told and read with. */
export type DemandParts = {
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
	readonly #parts: DemandParts;
	readonly #meter: DemandMeter;
	readonly #told = new Map<string, {readonly value: DemandFact; readonly at: number}>();

	constructor(parts: DemandParts, meter: DemandMeter) {
		this.#parts = parts;
		this.#meter = meter;
	}

	/** Begins to tell. */
	start(): Timer {
		return this.#parts.timers.startInterval(publishPeriodMs, () => {
			this.publish();
		});
	}

	/** Tells what has changed. */
	publish(): void {
		const {view, vm, timers, facts} = this.#parts;
		const names = view.listLiveMembers(view.domain).map(member => member.vm);
		if (names.length > mostTellers && !selectOwners(view.domain, names, mostTellers).includes(vm)) {
			return;
		}

		const now = timers.getNow();
		for (const service of this.#meter.listServices()) {
			const value = this.#meter.compute(service);
			const told = this.#told.get(service);
			if (told && now - told.at < repeatMs && !isWorthTelling(told.value, value)) {
				continue;
			}

			this.#told.set(service, {value, at: now});
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
	readonly #parts: DemandParts;
	readonly #heardAt = new Map<string, number>();

	constructor(parts: DemandParts) {
		this.#parts = parts;
		parts.facts.subscribe(fact => {
			if (fact.kind === 'demand') {
				this.#heardAt.set(fact.key, parts.timers.getNow());
			}
		});
	}

	/** Computes the demand for a service, in one domain or over all, and drops what is stale. */
	compute(service: string, wanted?: string): DemandFact {
		const {facts, view} = this.#parts;
		this.#forgetStale();
		const sum = {requestsPerSecond: 0, promptTokensPerSecond: 0, outputTokensPerSecond: 0};
		const tellers = this.#countTellers(service);
		for (const {key, value} of facts.list('demand')) {
			const [domain = '', name] = key.split('/');
			if (name !== service || (wanted !== undefined && wanted !== domain)) {
				continue;
			}

			const entries = view.listLiveMembers(domain).length;
			const factor = entries > mostTellers ? entries / (tellers.get(domain) ?? 1) : 1;
			sum.requestsPerSecond += value.requestsPerSecond * factor;
			sum.promptTokensPerSecond += value.promptTokensPerSecond * factor;
			sum.outputTokensPerSecond += value.outputTokensPerSecond * factor;
		}

		return sum;
	}

	#countTellers(service: string): Map<string, number> {
		const counts = new Map<string, number>();
		for (const {key} of this.#parts.facts.list('demand')) {
			const [domain = '', name] = key.split('/');
			if (name === service) {
				counts.set(domain, (counts.get(domain) ?? 0) + 1);
			}
		}

		return counts;
	}

	#forgetStale(): void {
		const now = this.#parts.timers.getNow();
		for (const [key, at] of this.#heardAt) {
			if (now - at > staleMs) {
				this.#heardAt.delete(key);
				this.#parts.facts.forget('demand', key);
			}
		}
	}
}

function isWorthTelling(told: DemandFact, value: DemandFact): boolean {
	return (['requestsPerSecond', 'promptTokensPerSecond', 'outputTokensPerSecond'] as const)
		.some(name => Math.abs(value[name] - told[name]) > Math.max(1, told[name]) * worthTelling);
}

function toRounded(value: DemandFact): DemandFact {
	return {
		requestsPerSecond: Math.round(value.requestsPerSecond * 10) / 10,
		promptTokensPerSecond: Math.round(value.promptTokensPerSecond),
		outputTokensPerSecond: Math.round(value.outputTokensPerSecond),
	};
}

import {serviceKind} from '../deployment/index.js';
import type {Upstream} from '../deployment/index.js';
import type {FactTable} from '../feed/index.js';
import type {Metrics} from '../metrics/index.js';
import {selectOwners} from '../rates/index.js';
import type {FleetView, PrefixCacheIndex} from '../routing/index.js';
import type {Timer, TimerService} from '../timers/index.js';
import type {EngineClient, LoadReport} from '../upstreams/index.js';

const pollPeriodMs = 1000;
/** Time after which a load that did not change is told again, in milliseconds. */
const repeatMs = 5000;
/** Change that is worth telling, as a part. */
const worthTelling = 0.1;

/** What loads are collected with. */
export type CollectorParts = {
	readonly timers: TimerService;
	readonly facts: FactTable;
	readonly view: FleetView;
	readonly prefixes: PrefixCacheIndex;
	readonly metrics: Metrics;
	/** Name of this entry's VM. */
	readonly vm: string;
	readonly getEngine: (upstream: Upstream) => EngineClient;
};

type Polled = {
	isBusy: boolean;
	told?: LoadReport;
	toldAt: number;
	incarnation: number;
	cacheSequence: number;
};

/**
Reads the loads and cache events of the engines that fall to this entry, one entry for each engine of the domain,
and tells the other entries of loads that changed.
*/
export class LoadCollector {
	readonly #parts: CollectorParts;
	readonly #polled = new Map<string, Polled>();

	constructor(parts: CollectorParts) {
		this.#parts = parts;
	}

	/** Begins to collect. */
	start(): Timer {
		return this.#parts.timers.startInterval(pollPeriodMs, () => {
			void this.collect();
		});
	}

	/** Reads every engine that falls to this entry once. */
	async collect(): Promise<void> {
		const mine = this.#listMine();
		const ids = new Set(mine.map(({id}) => id));
		for (const id of this.#polled.keys()) {
			if (!ids.has(id)) {
				this.#polled.delete(id);
			}
		}

		await Promise.all(mine.map(async engine => this.#readEngine(engine)));
	}

	#listMine(): Upstream[] {
		const {view, vm} = this.#parts;
		const names = [...new Set([vm, ...view.listLiveMembers(view.domain).map(member => member.vm)])];
		const models = new Set(view.deployment?.services.filter(service => service.kind === serviceKind.model).map(service => service.name));
		return view.deployment?.upstreams.filter(upstream => upstream.domain === view.domain && models.has(upstream.service)
			&& selectOwners(upstream.id, names, 1)[0] === vm) ?? [];
	}

	async #readEngine(upstream: Upstream): Promise<void> {
		const polled = this.#polled.get(upstream.id) ?? {
			isBusy: false, toldAt: 0, incarnation: 0, cacheSequence: 0,
		};
		this.#polled.set(upstream.id, polled);
		if (polled.isBusy) {
			return;
		}

		polled.isBusy = true;
		try {
			const engine = this.#parts.getEngine(upstream);
			this.#onLoad(upstream.id, polled, await engine.readLoad());
			const {incarnation, events} = await engine.readCacheEvents(polled.cacheSequence);
			if (incarnation === polled.incarnation) {
				this.#onCacheEvents(upstream.id, polled, events);
			}
		} catch {
			// An engine that does not answer tells nothing; requests to it show that it fails.
			this.#parts.metrics.count('dropped', 'load_unread');
		} finally {
			polled.isBusy = false;
		}
	}

	#onLoad(id: string, polled: Polled, report: LoadReport): void {
		if (report.incarnation !== polled.incarnation) {
			polled.incarnation = report.incarnation;
			polled.cacheSequence = 0;
			this.#parts.prefixes.forget(id);
		}

		const now = this.#parts.timers.getNow();
		if (polled.told && now - polled.toldAt < repeatMs && !isWorthTelling(polled.told, report)) {
			return;
		}

		polled.told = report;
		polled.toldAt = now;
		const {timers, facts} = this.#parts;
		// Another entry may tell of this engine next: the wall clock carries the version over.
		const version = Math.max(Math.round(timers.getWallTime()), (facts.get('load', id)?.version ?? 0) + 1);
		facts.merge({
			kind: 'load', key: id, version, value: report,
		});
	}

	#onCacheEvents(id: string, polled: Polled, events: ReadonlyArray<{readonly sequence: number; readonly kind: 'stored' | 'evicted'; readonly prefix: string}>): void {
		for (const event of events) {
			polled.cacheSequence = Math.max(polled.cacheSequence, event.sequence);
			if (event.kind === 'stored') {
				this.#parts.prefixes.add(id, [event.prefix]);
			} else {
				this.#parts.prefixes.remove(id, event.prefix);
			}
		}
	}
}

function isWorthTelling(told: LoadReport, report: LoadReport): boolean {
	return report.incarnation !== told.incarnation || report.role !== told.role
		|| (['running', 'waiting', 'prefillTokens', 'decodeTokens', 'piecesUsed'] as const).some(name => Math.abs(report[name] - told[name]) > told[name] * worthTelling);
}

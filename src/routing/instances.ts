import type {Upstream} from '../deployment/index.js';
import {NotRunError, refusalReason} from '../errors/index.js';
import type {RandomSource} from '../rates/index.js';
import type {TimerService} from '../timers/index.js';
import {TwoChoices} from './choice.js';
import type {HealthTable} from './health.js';
import type {EnginePicture} from './picture.js';
import type {FleetView} from './views.js';

/** What the choice of an instance looks at. */
export type InstanceParts = {
	readonly timers: TimerService;
	readonly random: RandomSource;
	readonly view: FleetView;
	readonly health: HealthTable;
	readonly getPicture: (upstream: string) => EnginePicture;
	readonly countRunning: (upstream: string) => number;
};

/** Instances of application services: those of the own failure domain first, the less busy of two. */
export class Instances {
	readonly #parts: InstanceParts;
	readonly #choice: TwoChoices;

	constructor(parts: InstanceParts) {
		this.#parts = parts;
		this.#choice = new TwoChoices(parts.random);
	}

	/** Chooses an instance. Throws `NotRunError` when none takes work. */
	chooseInstance(service: string, excluded: ReadonlySet<string>): Upstream {
		const {view, health} = this.#parts;
		const open = view.listUpstreams(service).filter(upstream => !excluded.has(upstream.id) && view.isOpen(upstream.id));
		const usable = open.filter(upstream => health.isUsable(upstream.id));
		const near = usable.filter(upstream => upstream.domain === view.domain);
		const candidates = near.length > 0 ? near : usable;
		if (candidates.length === 0) {
			const waits = open.map(upstream => health.computeWaitMs(upstream.id));
			throw new NotRunError(`no instance of ${service} takes work`, {
				props: {reason: open.length > 0 ? refusalReason.unavailable : refusalReason.noUpstream, retryAfterMs: Math.max(1000, ...waits)},
			});
		}

		return this.#choice.choose(candidates.map(candidate => ({candidate, cost: this.#countBusy(candidate.id)}))).candidate;
	}

	#countBusy(upstream: string): number {
		const {timers, view, getPicture, countRunning} = this.#parts;
		return Math.max(countRunning(upstream), getPicture(upstream).computeBacklog(timers.getNow(), 1, view.countEntries()).running);
	}
}

import {
	choosePlainEngine, computeRetryAfterMs, findFurther, isTooLateFor, maxReturnShare, QueueRefusal,
} from '../dispatch/index.js';
import type {EngineView, FurtherEngine} from '../dispatch/index.js';
import {refusalReason} from '../errors/index.js';
import type {Attempt} from './attempt.js';
import {RequestProgress} from './progress.js';
import type {GatewayDependencies, ServedRequest} from './served.js';
import {requestKind} from './types.js';

/** Progress of one request of an application service. */
export class PlainProgress extends RequestProgress {
	readonly triedEngines = new Set<EngineView>();
	/** Engines whose limits allowed no request when this one asked for a permit. */
	readonly limitedEngines = new Set<EngineView>();
	/** Number of sends whose answer has not ended. */
	openSends = 0;

	/** Whether the request may run on one more engine. */
	hasRunsLeft({route}: ServedRequest): boolean {
		return route.kind === requestKind.idempotent && this.runs + this.openSends < route.maxRuns;
	}

	/** Counts a send that has ended. */
	onEnd(attempt: Attempt): void {
		this.openSends--;
		this.triedEngines.add(attempt.view);
		this.countAttempt(attempt);
	}

	/**
	Chooses an engine that was not tried yet, or any one if none of those can take the request. Refuses the request when all engines that are
	available have got as many requests as their limits allow, and when none is fast enough to answer by its deadline.
	*/
	chooseEngine(dependencies: GatewayDependencies, served: ServedRequest, now: number): EngineView | QueueRefusal | undefined {
		const {permits} = dependencies;
		const available = served.fleet.listServing(served.service).filter(view => view.isAvailable(now));
		const open = this.#listOpen(dependencies, available);
		if (open.length === 0 && available.length > 0) {
			return new QueueRefusal(refusalReason.limited, permits.scheduleReturnMs(available.map(({record}) => record), (served.deadlineAt - now) * maxReturnShare));
		}

		if (open.length > 0 && isTooLateFor(served.deadlineAt, open, now)) {
			return new QueueRefusal(refusalReason.deadline, computeRetryAfterMs(served.deadlineAt - now, dependencies.getRandom()));
		}

		return choosePlainEngine(open, this.triedEngines, now, dependencies.getRandom) ?? choosePlainEngine(open, new Set(), now, dependencies.getRandom);
	}

	/** Chooses an engine that was not tried yet and is none of those at which the request is now; `undefined` when there is none. */
	chooseFurtherEngine(dependencies: GatewayDependencies, {fleet, service}: ServedRequest, current: readonly EngineView[], now: number): EngineView | undefined {
		const available = fleet.listServing(service).filter(view => view.isAvailable(now));
		return choosePlainEngine(this.#listOpen(dependencies, available), new Set([...this.triedEngines, ...current]), now, dependencies.getRandom);
	}

	/** Finds the engine that is expected to answer first, of those that were not tried, are none of those at which the request is now, and have neither a limit nor all slots in use. */
	findExtraEngine(dependencies: GatewayDependencies, {fleet, service}: ServedRequest, current: readonly EngineView[], now: number): FurtherEngine | undefined {
		const unlimited = fleet.listServing(service).filter(({record}) => !dependencies.permits.isLimited(record));
		return findFurther(unlimited, new Set([...this.triedEngines, ...current]), now);
	}

	/** Lists the engines whose limits allow a request now. */
	#listOpen({permits}: GatewayDependencies, views: readonly EngineView[]): EngineView[] {
		return views.filter(view => !this.limitedEngines.has(view) && permits.computeWaitMs(view.record) === 0);
	}
}

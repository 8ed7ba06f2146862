import type {EngineGroup, ScalingSpec} from './types.js';

/** A registered engine, as far as it matters for its number. */
export type ScalingEngine = {
	readonly domain: string;
	readonly isSpot: boolean;
	readonly slots: number;
	readonly isLeaving: boolean;
	/** Whether the platform is taking it back. */
	readonly isReclaimed: boolean;
	/** Whether it gets work: not leaving, and reachable. */
	readonly isServing: boolean;
	readonly isPrefillOnly: boolean;
};

/** What the holder knows of its orders for the engines of a kind in a failure domain. Times are monotonic, in milliseconds. */
export type OrderState = {
	readonly domain: string;
	readonly isSpot: boolean;
	/** Number that the platform accepted last, or that was found at the start of the term. */
	accepted: number;
	/** Number to have. */
	desired: number;
	/** Whether the desired number has to be sent, for the first time or again. */
	isUnsent: boolean;
	/** Whether the platform accepted an order in this term. */
	isConfirmed: boolean;
	/** Time of the latest accepted order that raised the number. */
	raisedAt: number;
	/** Time of the latest accepted order that changed the number. */
	changedAt: number;
	sentAt: number;
	/** Time until which no more can be had. */
	unavailableUntil: number;
	/** Time of the latest refusal since an order that raised the number was accepted. */
	refusedAt: number;
};

/** Time beyond one and a half boot times after which an ordered engine that does not serve counts as lost, in milliseconds: its registration is seen a while after it begins to serve. */
const bootMarginMs = 1000;
const bootFactor = 1.5;
/** Time after a refusal until which no more counts as available without another order, in milliseconds. */
const refusalMs = 10_000;

/** Creates the facts of each group from its engines and orders at `now`. */
export function createGroups(states: readonly OrderState[], engines: readonly ScalingEngine[], {bootMs, maxEngines}: ScalingSpec, now: number): EngineGroup[] {
	return states.map(state => {
		const {domain, isSpot, desired} = state;
		const members = engines.filter(engine => engine.domain === domain && engine.isSpot === isSpot);
		const serving = members.filter(engine => engine.isServing);
		const isBooting = now - state.raisedAt < (bootMs * bootFactor) + bootMarginMs && !members.some(engine => engine.isReclaimed);
		const isShort = serving.length < desired && !isBooting && !state.isUnsent;
		return {
			domain,
			isSpot,
			ordered: desired,
			serving: serving.length,
			prefillOnly: serving.filter(engine => engine.isPrefillOnly).length,
			available: isShort ? serving.length : (now < state.unavailableUntil ? desired : maxEngines),
			proven: isShort ? serving.length : (now - state.refusedAt < refusalMs ? desired : maxEngines),
			isShort,
		};
	});
}

/** How many engines of a service may be ordered, and what they cost. */
export type ScalingSpec = {
	/** Minimum number of engines in each failure domain, of both kinds together. */
	readonly minEngines: number;
	/** Maximum number of engines in each failure domain, of both kinds together. */
	readonly maxEngines: number;
	/** Time from an order until the engine serves, in milliseconds. */
	readonly bootMs: number;
	/** Price of a spot engine as a share of that of another engine. */
	readonly spotPrice: number;
	/** Price of an engine for each second, by failure domain. */
	readonly domainPrices: ReadonlyMap<string, number>;
};

/** Work that callers asked of the engines of a service, as its slot allocator measured it. */
export type WorkSummary = {
	/** Peak of the work in a second, as engine-milliseconds each second: 1000 keeps one engine busy. */
	readonly peakWork: number;
	/** Mean of that work over the latest 1.5 s, and over the 1.5 s before. */
	readonly recentWork: number;
	readonly earlierWork: number;
	/** Peak of the number of requests that held or waited for a slot, as a mean over half a second. */
	readonly peakSlots: number;
	/** Number of requests that wait now. */
	readonly waiting: number;
	/** Number of requests of the latest second. */
	readonly recentRequests: number;
	/** Number of those that got no reservation or one too late to be on time. */
	readonly recentLate: number;
};

/** The engines of one kind in a failure domain. */
export type EngineGroup = {
	readonly domain: string;
	readonly isSpot: boolean;
	/** Number that was ordered last, or that is registered where none was. */
	readonly ordered: number;
	/** Number of engines that get work: registered, reachable and not leaving. */
	readonly serving: number;
	/** Number of those that only prefill. */
	readonly prefillOnly: number;
	/** Number that can be counted on: no more than serve where engines were lost, no more than are ordered where the platform has none left. */
	readonly available: number;
	/** The same without what may be tried again after a refusal: engines of other groups are not given up for that. */
	readonly proven: number;
	/** Whether engines of the group were lost and have not come back; its order stands. */
	readonly isShort: boolean;
};

/** What orders are decided from. */
export type ScalingFacts = {
	readonly service: string;
	readonly spec: ScalingSpec;
	/** Both kinds of each failure domain in which the service runs. */
	readonly groups: readonly EngineGroup[];
	/** Mean number of slots of an engine. */
	readonly slotsPerEngine: number;
	/** Work of all callers; `undefined` where this entry does not see it. */
	readonly work: WorkSummary | undefined;
	/** Whether the work was measured, and the duty held, for long enough that the number of engines may fall. */
	readonly isSettled: boolean;
	/** Whether engines may be removed now: the last removal lies far enough back, and all callers are heard. */
	readonly canRemove: boolean;
	/** Number of engines needed whatever the work is, from recent requests that got no engine in time. */
	readonly minNeed: number;
};

/** An engine that may name a limit. */
export type LimitedEngine = {
	readonly service: string;
	/** Id of the incarnation. */
	readonly id: string;
};

/** What is known of an engine's limit. */
export type RequestLimit = LimitedEngine & {
	/** Requests a second that the engine takes from all entries together; infinite once it names no limit. */
	readonly perSecond: number;
	/** Time since the answer that showed it, in milliseconds. */
	readonly ageMs: number;
};

/** A limit that was named, changed or lifted. */
export type RequestLimitChange = RequestLimit & {
	/** The limit before, infinite when there was none. */
	readonly previousPerSecond: number;
	/** Where it was learned: from an answer to this process, or from another entry. */
	readonly cause: 'answer' | 'peer';
};

/** The engines at one address, whichever incarnation runs there. Another service may take over the address. */
export type LimitedAddress = {
	readonly service: string;
	/** `host:port`. */
	readonly address: string;
};

/** What is known of an engine's limit. */
export type RequestLimit = LimitedAddress & {
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

/** Formats a key for maps. */
export function formatLimitKey({service, address}: LimitedAddress): string {
	return `${service} ${address}`;
}

/** What an engine writes down of itself. */
export const engineEvent = {
	orderReceived: 'order received',
	orderApplied: 'order applied',
	orderRepeated: 'order repeated',
	orderRefused: 'order refused',
	requestStarted: 'request started',
	requestAttached: 'request attached',
	requestEnded: 'request ended',
	requestCut: 'request cut',
	requestCancelled: 'request cancelled',
	requestRefused: 'request refused',
	kvExported: 'kv exported',
	kvImported: 'kv imported',
	crashed: 'crashed',
	started: 'started',
} as const;

/** See {@link engineEvent}. */
export type EngineEvent = (typeof engineEvent)[keyof typeof engineEvent];

/** A row of an engine's journal. */
export type EngineRow = {
	readonly event: EngineEvent;
	/** Monotonic clock, in milliseconds. */
	readonly at: number;
	/** Id of the request or order; empty for the engine itself. */
	readonly id: string;
	/** Of an order: its fence and kind. */
	readonly fence?: number;
	readonly kind?: string;
	/** Of a request: the first offset asked for when it starts, the size of the answer when it ends. */
	readonly offset?: number;
	/** Of a request that starts: the hash of its prompt. */
	readonly prompt?: string;
	/** Of an ended request: the hash of its whole text. */
	readonly hash?: string;
	/** Why it was refused or cut. */
	readonly reason?: string;
};

/** Events of an engine's journal. */
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
	/** Time, monotonic, in milliseconds. */
	readonly at: number;
	/** Id of the request or order, or handle of the imported KV cache; empty for events of the engine itself. */
	readonly id: string;
	/** Fence of an order. */
	readonly fence?: number;
	/** Kind of an order. */
	readonly kind?: string;
	/** Offset of a request: the first one requested when it starts or is attached to, the next one when it is cut or cancelled, the number of tokens of the answer when it ends. */
	readonly offset?: number;
	/** Hash of the prompt, for a request that starts. */
	readonly prompt?: string;
	/** Hash of the whole text, for a request that ended. */
	readonly hash?: string;
	/** Why the request or order was refused, or the request was cut. */
	readonly reason?: string;
};

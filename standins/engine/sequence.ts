import {hashPrefixes} from '../../src/upstreams/index.js';
import type {GenerateEvent, GenerateRequest} from '../../src/upstreams/index.js';
import type {Timer} from '../../src/timers/index.js';
import {Answer} from './answer.js';
import {pieceTokens} from './costs.js';

/** Receives the events of one request. */
export type EventSink = {
	readonly onEvent: (event: GenerateEvent) => void;
	/** Called when the answer stops without its end event. */
	readonly onCut: (reason: string) => void;
};

/** A request that the engine is working on, with its progress. */
export class Sequence {
	readonly answer: Answer;
	readonly prefixHashes: readonly string[];
	/** Pieces of KV cache that it needs while it runs; a piece is 1,000 tokens. */
	readonly pieces: number;
	/** Tokens still to be prefilled before the next one is generated. */
	prefillTokens: number;
	/** Offset of the next event. */
	nextOffset: number;
	sink: EventSink | undefined;
	/** Cancels the request when no connection attaches to it in time. */
	reattachTimer: Timer | undefined;
	/** Raised with each attachment, so that the close of an earlier connection has no effect on the current one. */
	attachmentId = 0;

	/** Creates a generation, or with `onPrefilled` a prefill alone; `onPrefilled` gets the reason when the prefill is aborted. */
	constructor(
		readonly request: GenerateRequest,
		/** Number that rises with each request; lower ones go first within a priority. */
		readonly arrivalNumber: number,
		readonly onPrefilled?: (reason?: string) => void,
	) {
		this.answer = new Answer(request);
		this.prefixHashes = hashPrefixes(request);
		const outputTokens = onPrefilled ? 0 : request.maxTokens;
		this.pieces = Math.max(1, Math.ceil((request.promptTokens + outputTokens) / pieceTokens));
		// The tokens that a resumed answer already has are prefilled together with the prompt.
		this.prefillTokens = request.promptTokens + request.offset;
		this.nextOffset = request.offset;
	}

	/** Counts the tokens still to be generated; none for a prefill. */
	countRemainingTokens(): number {
		return this.onPrefilled ? 0 : this.answer.tokenCount - this.nextOffset;
	}

	/** Sends the next event to the sink, and returns whether it was the end event. */
	sendNext(): boolean {
		const event = this.answer.getEvent(this.nextOffset);
		this.nextOffset++;
		this.sink?.onEvent(event);
		return event.kind === 'end';
	}
}

/** Compares sequences for sorting: by priority, highest first, and then by arrival. */
export function compareSequences(left: Sequence, right: Sequence): number {
	return right.request.priority - left.request.priority || left.arrivalNumber - right.arrivalNumber;
}

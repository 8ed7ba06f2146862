import {hashPrefixes} from '../../src/upstreams/index.js';
import type {GenerateEvent, GenerateRequest} from '../../src/upstreams/index.js';
import type {Timer} from '../../src/timers/index.js';
import {Answer} from './answer.js';
import {pieceTokens} from './costs.js';

/** Takes the events of one request, or learns that they stop. */
export type EventSink = {
	readonly onEvent: (event: GenerateEvent) => void;
	/** The answer stops without its end marker. */
	readonly onCut: (reason: string) => void;
};

/** A request in the engine. */
export class Sequence {
	readonly answer: Answer;
	readonly prefixHashes: readonly string[];
	/** KV pieces that it takes while it runs. */
	readonly pieces: number;
	/** Tokens still to be read before the first is generated. */
	prefillTokens: number;
	/** Offset of the next token. */
	nextOffset: number;
	sink: EventSink | undefined;
	/** Cancels the request when nobody comes back for it. */
	reattachTimer: Timer | undefined;
	/** Rises with each attachment, so that an old connection's close is told from the new one's. */
	attachmentId = 0;

	/** Takes `onPrefilled` when only the KV cache of the prompt is wanted. */
	constructor(
		readonly request: GenerateRequest,
		/** Rank among requests of one priority. */
		readonly arrivalNumber: number,
		readonly onPrefilled?: (reason?: string) => void,
	) {
		this.answer = new Answer(request);
		this.prefixHashes = hashPrefixes(request);
		const outputTokens = onPrefilled ? 0 : request.maxTokens;
		this.pieces = Math.max(1, Math.ceil((request.promptTokens + outputTokens) / pieceTokens));
		// A resumed answer's tokens are read again with the prompt.
		this.prefillTokens = request.promptTokens + request.offset;
		this.nextOffset = request.offset;
	}

	/** Counts the tokens still to be generated. */
	countRemainingTokens(): number {
		return this.onPrefilled ? 0 : this.answer.tokenCount - this.nextOffset;
	}

	/** Sends the next event and says whether it was the end. */
	sendNext(): boolean {
		const event = this.answer.getEvent(this.nextOffset);
		this.nextOffset++;
		this.sink?.onEvent(event);
		return event.kind === 'end';
	}
}

/** Puts higher priorities first, then earlier requests. */
export function compareSequences(left: Sequence, right: Sequence): number {
	return right.request.priority - left.request.priority || left.arrivalNumber - right.arrivalNumber;
}

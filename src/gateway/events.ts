import {Buffer} from 'node:buffer';
import {BrokenAnswerError} from '../errors/index.js';

const lineFeed = 10;
const carriageReturn = 13;
const idField = 'id:';
const commentStart = ':';
const lineEnd = /\r?\n/v;
const eventEnd = /(?:\r?\n){2,}/v;
/** Maximum length of an event's id in an error. */
const maxShownIdLength = 32;

/** Text of the error for a stream that its engine ends before the first event, as one does that stops after the head of an answer without a length. */
export const emptyStreamMessage = 'Stream ended before its first event.';

/** Complete events of a stream, and the last id among them. */
export type CompleteEvents = {
	readonly bytes: Uint8Array;
	readonly lastId: string | undefined;
};

/** Maximum size of one event; what is larger is no event, and may never end. */
const maxEventBytes = 1_048_576;
/** Maximum number of chunks of an incomplete event that are held apart. */
const maxHeldChunks = 256;
/** Bytes before a chunk in which an event's end may begin. */
const maxEndPrefix = 2;

/**
Splits a stream of server-sent events at the ends of events (empty lines), without changing a byte. An incomplete event
is held back: if the stream breaks there and is resumed at another engine, the caller has received only complete events.
*/
export class EventSplitter {
	#incomplete: Uint8Array[] = [];
	#incompleteBytes = 0;

	/** Number of bytes after the last complete event. */
	get incompleteBytes(): number {
		return this.#incompleteBytes;
	}

	/** Adds a chunk of the stream and returns the events that are now complete, if any. Throws `BrokenAnswerError` when an event exceeds its limit. */
	add(chunk: Uint8Array): CompleteEvents | undefined {
		// Only the last bytes of what is held back are looked at again, however many chunks an event has.
		const prefix = this.#getLastBytes();
		const end = findLastEventEnd(prefix.length === 0 ? chunk : Buffer.concat([prefix, chunk])) - prefix.length;
		if (end <= 0) {
			this.#addIncomplete(chunk);
			return undefined;
		}

		const complete = this.#incomplete.length === 0 ? chunk.subarray(0, end) : Buffer.concat([...this.#incomplete, chunk.subarray(0, end)]);
		this.#incomplete = [];
		this.#incompleteBytes = 0;
		this.#addIncomplete(chunk.subarray(end));
		return {bytes: complete, lastId: findLastId(complete)};
	}

	/** Ends the stream and returns what is left to send, which is at most empty lines. Throws `BrokenAnswerError` when the stream ended inside an event. */
	finish(): Uint8Array {
		const incomplete = Buffer.concat(this.#incomplete);
		if (incomplete.some(byte => byte !== lineFeed && byte !== carriageReturn)) {
			throw new BrokenAnswerError(`Stream ended inside an event, ${incomplete.length} bytes after the last complete one.`);
		}

		return incomplete;
	}

	#addIncomplete(bytes: Uint8Array): void {
		if (bytes.length === 0) {
			return;
		}

		this.#incomplete.push(bytes);
		if (this.#incomplete.length > maxHeldChunks) {
			this.#incomplete = [Buffer.concat(this.#incomplete)];
		}

		this.#incompleteBytes += bytes.length;
		if (this.#incompleteBytes > maxEventBytes) {
			throw new BrokenAnswerError(`An event exceeds the limit of ${maxEventBytes} bytes.`);
		}
	}

	#getLastBytes(): Uint8Array {
		const last = this.#incomplete.slice(-maxEndPrefix).map(bytes => bytes.subarray(-maxEndPrefix));
		return last.length === 0 ? new Uint8Array(0) : Buffer.concat(last).subarray(-maxEndPrefix);
	}
}

/**
Checks that events continue a stream after the event `lastId`: each has an id, and ids that are numbers rise. Throws `BrokenAnswerError` otherwise. An engine that resumes
a stream sends nothing else; an error's text, or bytes that are no event, must not get into the middle of an answer.
*/
export function checkContinuation(bytes: Uint8Array, lastId: string): void {
	let previousId = lastId;
	for (const event of Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength).toString('latin1').split(eventEnd)) {
		const lines = event.split(lineEnd);
		// Comments keep a connection open.
		if (lines.every(line => line === '' || line.startsWith(commentStart))) {
			continue;
		}

		const id = lines.findLast(line => line.startsWith(idField))?.slice(idField.length).trim();
		if (id === undefined || !isLaterId(id, previousId)) {
			throw new BrokenAnswerError(`The stream can't go on after event ${previousId.slice(0, maxShownIdLength)} with ${id === undefined ? 'what bears no id' : `event ${id.slice(0, maxShownIdLength)}`}.`);
		}

		previousId = id;
	}
}

/** Tells whether the event `id` may follow `previousId`. Ids that are no numbers have no order, but are not repeated. */
function isLaterId(id: string, previousId: string): boolean {
	return /^\d{1,15}$/v.test(id) && /^\d{1,15}$/v.test(previousId) ? Number(id) > Number(previousId) : id !== '' && id !== previousId;
}

/** Checks that a buffered stream ends after an event. Throws `BrokenAnswerError` when it ends inside one, or has none unless `mayBeEmpty` is set. */
export function checkEvents(body: Uint8Array, mayBeEmpty: boolean): void {
	const splitter = new EventSplitter();
	const events = splitter.add(body);
	splitter.finish();
	if (!mayBeEmpty && !(events && hasEvent(events.bytes))) {
		throw new BrokenAnswerError(emptyStreamMessage);
	}
}

/** Whether a part of a stream has an event: comments and empty lines are none. */
export function hasEvent(bytes: Uint8Array): boolean {
	return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength).toString('latin1').split(lineEnd).some(line => line !== '' && !line.startsWith(commentStart));
}

function findLastEventEnd(bytes: Uint8Array): number {
	for (let index = bytes.length - 1; index > 0; index--) {
		const isEnd = bytes[index] === lineFeed
			&& (bytes[index - 1] === lineFeed || (index > 1 && bytes[index - 1] === carriageReturn && bytes[index - 2] === lineFeed));
		if (isEnd) {
			return index + 1;
		}
	}

	return 0;
}

function findLastId(bytes: Uint8Array): string | undefined {
	const lines = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength).toString('latin1').split('\n');
	const line = lines.findLast(text => text.startsWith(idField));
	return line?.slice(idField.length).trim();
}

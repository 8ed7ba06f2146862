import {Buffer} from 'node:buffer';
import {BrokenAnswerError} from '../errors/index.js';

const lineFeed = 10;
const carriageReturn = 13;
const idField = 'id:';

/** Complete events of a stream, and the last id among them. */
export type CompleteEvents = {
	readonly bytes: Uint8Array;
	readonly lastId: string | undefined;
};

/**
Splits a stream of server-sent events at the ends of events (empty lines), without changing a byte. An incomplete event
is held back: if the stream breaks there and is resumed at another engine, the caller has received only complete events.
*/
export class EventSplitter {
	#incomplete: Uint8Array = new Uint8Array(0);

	/** Number of bytes after the last complete event. */
	get incompleteBytes(): number {
		return this.#incomplete.length;
	}

	/** Adds a chunk of the stream and returns the events that are now complete, if any. */
	add(chunk: Uint8Array): CompleteEvents | undefined {
		const bytes = this.#incomplete.length === 0 ? chunk : Buffer.concat([this.#incomplete, chunk]);
		const end = findLastEventEnd(bytes);
		if (end === 0) {
			this.#incomplete = bytes;
			return undefined;
		}

		const complete = bytes.subarray(0, end);
		this.#incomplete = bytes.subarray(end);
		return {bytes: complete, lastId: findLastId(complete)};
	}

	/** Ends the stream and returns what is left to send, which is at most empty lines. Throws `BrokenAnswerError` when the stream ended inside an event. */
	finish(): Uint8Array {
		if (this.#incomplete.some(byte => byte !== lineFeed && byte !== carriageReturn)) {
			throw new BrokenAnswerError(`Stream ended inside an event, ${this.#incomplete.length} bytes after the last complete one.`);
		}

		return this.#incomplete;
	}
}

/** Checks that a buffered stream ends after an event. Throws `BrokenAnswerError` when it ends inside one. */
export function checkEvents(body: Uint8Array): void {
	const splitter = new EventSplitter();
	splitter.add(body);
	splitter.finish();
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

import {Buffer} from 'node:buffer';

const lineFeed = 10;
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

	/** Removes and returns the bytes after the last complete event; a stream that ended normally may have some. */
	takeIncomplete(): Uint8Array {
		const incomplete = this.#incomplete;
		this.#incomplete = new Uint8Array(0);
		return incomplete;
	}
}

function findLastEventEnd(bytes: Uint8Array): number {
	for (let index = bytes.length - 1; index > 0; index--) {
		const isEnd = bytes[index] === lineFeed
			&& (bytes[index - 1] === lineFeed || (index > 1 && bytes[index - 1] === 13 && bytes[index - 2] === lineFeed));
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

import {ForeignAnswerError} from '../errors/index.js';
import type {GenerateEvent} from '../upstreams/index.js';

/**
Checks, before a byte of an answer is sent to the caller, that every event belongs to the request and is the next one.

@example
```
const check = new AnswerCheck('r1', 0);
check.selectOwn([{kind: 'token', id: 'r1', offset: 0, text: 'a'}]); // Returns the event.
check.offset; // 1
```
*/
export class AnswerCheck {
	/** Index of the next token. */
	offset: number;
	readonly #id: string;
	readonly #onRepeated: () => void;

	constructor(id: string, offset: number, onRepeated: () => void = () => undefined) {
		this.#id = id;
		this.offset = offset;
		this.#onRepeated = onRepeated;
	}

	/**
	Returns the events that come next, without repeated ones and those before the offset `from`, which another attempt has delivered.
	Throws `ForeignAnswerError` at an event of another request or after a gap: the connection can't be trusted any more.
	The events before it are discarded as well, so `offset` does not change.
	*/
	selectNext(events: readonly GenerateEvent[], from = this.offset): readonly GenerateEvent[] {
		let nextOffset = this.offset;
		const accepted: GenerateEvent[] = [];
		for (const event of events) {
			if (event.id !== this.#id || event.offset > nextOffset) {
				throw new ForeignAnswerError(`expected ${this.#id} at ${nextOffset}, got ${event.id} at ${event.offset}`);
			}

			if (event.offset < nextOffset) {
				this.#onRepeated();
				continue;
			}

			if (event.offset >= from) {
				accepted.push(event);
			}

			if (event.kind === 'end') {
				break;
			}

			nextOffset++;
		}

		this.offset = nextOffset;
		return accepted;
	}
}

import {ForeignAnswerError} from '../errors/index.js';
import type {GenerateEvent} from '../upstreams/index.js';

/**
Checks that every event of an answer is the caller's own and the next one, before a byte of it goes out.

@example
```
const check = new AnswerCheck('r1', 0);
check.selectOwn([{kind: 'token', id: 'r1', offset: 0, text: 'a'}]); // Passes the event on.
check.offset; // 1
```
*/
export class AnswerCheck {
	/** Index of the next token. */
	offset: number;
	readonly #id: string;
	readonly #onLate: () => void;

	constructor(id: string, offset: number, onLate: () => void = () => undefined) {
		this.#id = id;
		this.offset = offset;
		this.#onLate = onLate;
	}

	/**
	Keeps the events that come next and drops repeated ones.
	Throws `ForeignAnswerError` at an event of another request or after a gap: the connection can't be trusted any more.
	The events before it are lost with it, so `offset` stays where it was.
	*/
	selectOwn(events: readonly GenerateEvent[]): readonly GenerateEvent[] {
		let next = this.offset;
		const own: GenerateEvent[] = [];
		for (const event of events) {
			if (event.id !== this.#id || event.offset > next) {
				throw new ForeignAnswerError(`expected ${this.#id} at ${next}, got ${event.id} at ${event.offset}`);
			}

			if (event.offset < next) {
				this.#onLate();
				continue;
			}

			own.push(event);
			if (event.kind === 'end') {
				break;
			}

			next++;
		}

		this.offset = next;
		return own;
	}
}

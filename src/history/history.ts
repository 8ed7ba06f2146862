import type {TimerService} from '../timers/index.js';

/** A change of state that somebody may ask about later. */
export type HistoryEvent = {
	/** Rises by one with each event of this process. */
	readonly sequence: number;
	/** Wall clock, in milliseconds since the epoch. */
	readonly at: number;
	/** What changed: `engine/e1`, `request/<id>`, `configuration`, `domain/kigali-1`, `operation/<id>`, `member/vm-1`. */
	readonly subject: string;
	/** What happened, in one or two words. */
	readonly kind: string;
	/** The particulars, for people. */
	readonly detail: string;
	/** Sequence of the event that led to this one. */
	readonly cause?: number;
};

/** What is recorded of an event; the rest is filled in. */
export type NewEvent = Omit<HistoryEvent, 'sequence' | 'at'>;

const defaultMaxEvents = 4000;

/**
The last changes of state of a process, kept in bounded memory; `explain` follows the chain of causes.

@example
```
const asked = history.record({subject: 'operation/7', kind: 'asked', detail: 'drain e1'});
history.record({subject: 'engine/e1', kind: 'closing', detail: 'no new work', cause: asked});
```
*/
export class History {
	readonly #events: HistoryEvent[] = [];
	readonly #listeners = new Set<(event: HistoryEvent) => void>();
	readonly #timers: TimerService;
	readonly #maxEvents: number;
	#sequence = 0;

	constructor(timers: TimerService, maxEvents = defaultMaxEvents) {
		this.#timers = timers;
		this.#maxEvents = maxEvents;
	}

	/** Records an event and returns its sequence, to be given as the cause of others. */
	record(event: NewEvent): number {
		this.#sequence++;
		const recorded = {...event, sequence: this.#sequence, at: this.#timers.getWallTime()};
		this.#events.push(recorded);
		if (this.#events.length > this.#maxEvents) {
			this.#events.shift();
		}

		for (const listener of this.#listeners) {
			listener(recorded);
		}

		return this.#sequence;
	}

	/** Lists the events above `afterSequence`, oldest first; of one subject when given. */
	list(afterSequence = 0, subject?: string): readonly HistoryEvent[] {
		return this.#events.filter(event => event.sequence > afterSequence && (subject === undefined || event.subject === subject));
	}

	/** Explains a subject: its events and, before each, the chain of causes that is still remembered. */
	explain(subject: string): readonly HistoryEvent[] {
		const bySequence = new Map(this.#events.map(event => [event.sequence, event]));
		const eventsBySequence = new Map<number, HistoryEvent>();
		for (let event of this.list(0, subject) as Array<HistoryEvent | undefined>) {
			while (event && !eventsBySequence.has(event.sequence)) {
				eventsBySequence.set(event.sequence, event);
				event = event.cause === undefined ? undefined : bySequence.get(event.cause);
			}
		}

		return [...eventsBySequence.values()].toSorted((left, right) => left.sequence - right.sequence);
	}

	/** Calls `listener` with each event from now on; the result ends that. */
	subscribe(listener: (event: HistoryEvent) => void): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}
}

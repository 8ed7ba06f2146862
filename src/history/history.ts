import type {TimerService} from '../timers/index.js';

/** A recorded change of state. */
export type HistoryEvent = {
	/** Increases by one with each event of this process. */
	readonly sequence: number;
	/** Wall-clock time, in milliseconds since the epoch. */
	readonly at: number;
	/** What changed: `engine/e1`, `request/<id>`, `configuration`, `domain/kigali-1`, `operation/<id>`, `member/vm-1`. */
	readonly subject: string;
	/** What happened, in one or two words. */
	readonly kind: string;
	/** Details, for people. */
	readonly detail: string;
	/** Sequence number of the event that caused this one. */
	readonly cause?: number;
};

/** An event to record; the history adds its sequence number and time. */
export type NewEvent = Omit<HistoryEvent, 'sequence' | 'at'>;

/** Number of events that are kept unless the constructor is given another. */
const defaultMaxEvents = 4000;

/**
The latest state changes of a process. Memory is bounded: the oldest event is dropped when a new one exceeds the limit.

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

	/** Records an event, notifies the subscribers, and returns its sequence number, to be given as the `cause` of later events. */
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

	/** Lists the events with a sequence number above `afterSequence`, oldest first; only those of `subject` when given. */
	list(afterSequence = 0, subject?: string): readonly HistoryEvent[] {
		return this.#events.filter(event => event.sequence > afterSequence && (subject === undefined || event.subject === subject));
	}

	/** Lists the events of a subject together with the chains of events that caused them, as far as still kept, oldest first. */
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

	/** Calls `listener` with each event from now on; the returned function unsubscribes it. */
	subscribe(listener: (event: HistoryEvent) => void): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}
}

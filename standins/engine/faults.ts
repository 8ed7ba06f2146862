import type {GenerateEvent} from '../../src/upstreams/index.js';
import type {EventSink} from './sequence.js';

/** Faults of one answer; a set is used up by the next request that starts or resumes. */
export type StreamFaults = {
	/** Closes the connection after this many events. */
	breakAfter?: number;
	/** Puts another request's id on the event that follows this many. */
	foreignAfter?: number;
	/** Sends the event that follows this many twice. */
	repeatAfter?: number;
	/** Sends nothing after this many events, and keeps the connection open. */
	silentAfter?: number;
};

/** Applies faults to the events on their way from an engine to a connection. */
export class FaultInjectingSink implements EventSink {
	#count = 0;
	#isCut = false;

	constructor(private readonly sink: EventSink, private readonly faults: StreamFaults, private readonly onBreak: () => void) {}

	onEvent(event: GenerateEvent): void {
		const count = this.#count++;
		const {breakAfter, foreignAfter, repeatAfter, silentAfter} = this.faults;
		if (this.#isCut || (silentAfter !== undefined && count >= silentAfter)) {
			return;
		}

		if (count === breakAfter) {
			this.#isCut = true;
			this.onBreak();
			this.sink.onCut('fault');
			return;
		}

		this.sink.onEvent(count === foreignAfter ? {...event, id: `${event.id}-other`} : event);
		if (count === repeatAfter) {
			this.sink.onEvent(event);
		}
	}

	onCut(reason: string): void {
		if (!this.#isCut) {
			this.sink.onCut(reason);
		}
	}
}

/** Faults that a test asks an engine for. */
export class EngineFaults {
	/** Faults of the next answers, one set for each. */
	readonly streams: StreamFaults[] = [];

	/** Returns the sink of a new answer, wrapped to apply the next set of faults when there is one. Calls `onBreak` when a fault closes the connection. */
	wrapSink(sink: EventSink, onBreak: () => void = () => undefined): EventSink {
		const faults = this.streams.shift();
		return faults ? new FaultInjectingSink(sink, faults, onBreak) : sink;
	}
}

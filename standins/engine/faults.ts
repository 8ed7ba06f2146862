import type {GenerateEvent} from '../../src/upstreams/index.js';
import type {EventSink} from './sequence.js';

/** Faults of one answer; each is spent by the next request that starts or resumes. */
export type StreamFaults = {
	/** Cut the connection after this many events. */
	breakAfter?: number;
	/** Put another request's id on the event after this many. */
	foreignAfter?: number;
	/** Send the event after this many twice. */
	repeatAfter?: number;
	/** Send nothing after this many events, and keep the connection. */
	silentAfter?: number;
};

/** Puts faults between an engine and a connection. */
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

/** Faults of an engine that a test switches on. */
export class EngineFaults {
	/** Faults for the next answers, one set each. */
	readonly streams: StreamFaults[] = [];

	/** Wraps the sink of a new answer in the faults that are next. */
	wrapSink(sink: EventSink, onBreak: () => void = () => undefined): EventSink {
		const faults = this.streams.shift();
		return faults ? new FaultInjectingSink(sink, faults, onBreak) : sink;
	}
}

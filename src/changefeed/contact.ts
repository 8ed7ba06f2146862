/** A time in which the store answered without a longer silence, both monotonic, in milliseconds. */
export type ContactSpan = {readonly since: number; readonly until: number};

/** A time in which no entry is known to have had an answer of the store, both monotonic, in milliseconds. */
export type StoreOutage = {readonly startedAt: number; readonly endedAt: number};

/** Longest time between two answers to this process that still counts as answered all along if no call failed meanwhile, in milliseconds: a pause, a watch without changes and a slow answer. */
const maxCycleMs = 4500;
/** Maximum number of times that are remembered: more than the outages that matter at once. */
const maxSpans = 16;

/**
Knows when the store answered, by the answers to this process and by what other entries tell of theirs. A time in which it answered only others was no
outage: this process had lost its own path to it.
*/
export class StoreContact {
	readonly #maxSilenceMs: number;
	/** Times in which the store answered, the earliest first, with longer silences between them. */
	#spans: readonly ContactSpan[] = [];
	#ownAnswerAt: number | undefined;
	#isFailing = false;

	/** Silences of up to `maxSilenceMs` are no outage. */
	constructor(maxSilenceMs: number) {
		this.#maxSilenceMs = maxSilenceMs;
	}

	/** The latest time in which the store is not known to have answered anyone, once it has ended; `undefined` when there was none. */
	get outage(): StoreOutage | undefined {
		const before = this.#spans.at(-2);
		return before && {startedAt: before.until, endedAt: this.#spans.at(-1)!.since};
	}

	/** The time in which the store has been answering up to its latest known answer; `undefined` before the first. */
	get span(): ContactSpan | undefined {
		return this.#spans.at(-1);
	}

	/** Records that a call of this process was answered. */
	onOwnAnswer(now: number): void {
		const isContinuous = !this.#isFailing && this.#ownAnswerAt !== undefined && now - this.#ownAnswerAt <= maxCycleMs;
		const since = isContinuous ? this.#ownAnswerAt! : now;
		this.#isFailing = false;
		this.#ownAnswerAt = now;
		this.onAnswers({since, until: now});
	}

	/** Records that a call of this process got no answer. */
	onOwnFailure(): void {
		this.#isFailing = true;
	}

	/** Records that the store answered some entry in a time. */
	onAnswers({since, until}: ContactSpan): void {
		const isJoined = (span: ContactSpan) => since - span.until <= this.#maxSilenceMs && span.since - until <= this.#maxSilenceMs;
		const joined = this.#spans.filter(span => isJoined(span));
		const merged = {since: Math.min(since, ...joined.map(span => span.since)), until: Math.max(until, ...joined.map(span => span.until))};
		this.#spans = [...this.#spans.filter(span => !isJoined(span)), merged]
			.sort((left, right) => left.since - right.since)
			.slice(-maxSpans);
	}
}

import type {HistoryEvent} from '../history/index.js';

/** What entries remember, and who did not answer. */
export type EventsResponse = {
	readonly answers: ReadonlyArray<{readonly vm: string; readonly events: readonly HistoryEvent[]}>;
	readonly unheard: readonly string[];
};

/** Formats events of all entries in the order of their clocks, one a line. */
export function formatEvents({answers, unheard}: EventsResponse): string[] {
	const events = answers.flatMap(({vm, events: entryEvents}) => entryEvents.map(event => ({vm, ...event}))).toSorted((left, right) => left.at - right.at);
	const lines = events.map(({vm, at, subject, kind, detail, sequence, cause}) =>
		`${new Date(at).toISOString()} ${vm}#${sequence} ${subject} ${kind}: ${detail}${cause === undefined ? '' : ` (because of #${cause})`}`);
	return unheard.length === 0 ? lines : [...lines, `not heard from: ${unheard.join(', ')}`];
}

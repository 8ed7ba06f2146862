import type {HistoryEvent} from '../history/index.js';

/** Answer of `/ops/events` and `/ops/explain`: the events that each entry remembers, and in `unheard` the VMs whose entries did not answer or were not asked. */
export type EventsResponse = {
	readonly answers: ReadonlyArray<{readonly vm: string; readonly events: readonly HistoryEvent[]}>;
	readonly unheard: readonly string[];
};

/** Formats the events of all entries, one per line, ordered by the wall-clock times that the entries recorded. A last line lists the VMs in `unheard`. */
export function formatEvents({answers, unheard}: EventsResponse): string[] {
	const events = answers.flatMap(({vm, events: entryEvents}) => entryEvents.map(event => ({vm, ...event}))).toSorted((left, right) => left.at - right.at);
	const lines = events.map(({vm, at, subject, kind, detail, sequence, cause}) =>
		`${new Date(at).toISOString()} ${vm}#${sequence} ${subject} ${kind}: ${detail}${cause === undefined ? '' : ` (because of #${cause})`}`);
	return unheard.length === 0 ? lines : [...lines, `not heard from: ${unheard.join(', ')}`];
}

import {request} from 'undici';
import type {HistoryEvent} from '../history/index.js';
import type {Member} from '../membership/index.js';

/** Timeout of a query to another entry, in milliseconds. */
const answerTimeoutMs = 2000;
/** Maximum number of entries queried; the others are reported like those that did not answer. */
const maxQueriedEntries = 400;
const maxConcurrentQueries = 32;

/** Events in the history of one entry. */
export type EntryEvents = {readonly vm: string; readonly events: readonly HistoryEvent[]};

/**
Queries other entries for their events over HTTP, with a timeout for each. `found` holds the answers, sorted by VM;
`unheard` lists the VMs of the entries that failed to answer or were not queried.
*/
export async function collectMemberEvents(members: readonly Member[], path: string, query: Readonly<Record<string, string>>) {
	const found: EntryEvents[] = [];
	const unansweredVms = members.slice(maxQueriedEntries).map(member => member.vm);
	const pending = members.slice(0, maxQueriedEntries);
	const readPending = async (): Promise<void> => {
		for (let member = pending.shift(); member; member = pending.shift()) {
			try {
				found.push(...await readEvents(member, path, query));
			} catch {
				unansweredVms.push(member.vm);
			}
		}
	};

	await Promise.all(Array.from({length: maxConcurrentQueries}, async () => readPending()));
	return {found: found.toSorted((left, right) => left.vm.localeCompare(right.vm)), unheard: unansweredVms};
}

async function readEvents(member: Member, path: string, query: Readonly<Record<string, string>>): Promise<readonly EntryEvents[]> {
	const answer = await request(`http://${member.http}${path}`, {
		query, signal: AbortSignal.timeout(answerTimeoutMs), headersTimeout: answerTimeoutMs, bodyTimeout: answerTimeoutMs,
	});
	const {answers} = await answer.body.json() as {readonly answers: readonly EntryEvents[]};
	return answers;
}

import {request} from 'undici';
import type {HistoryEvent} from '../history/index.js';
import type {Member} from '../membership/index.js';

/** Longest wait for another entry's answer, in milliseconds. */
const answerTimeoutMs = 2000;
/** Most entries asked; the rest is named as not asked. */
const maxQueriedEntries = 400;
const maxConcurrentQueries = 32;

/** What one entry remembers. */
export type EntryEvents = {readonly vm: string; readonly events: readonly HistoryEvent[]};

/** Asks other entries for their events, within a bounded time, and names those who did not answer. */
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

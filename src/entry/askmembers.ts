import {request} from 'undici';
import type {HistoryEvent} from '../history/index.js';
import type {Member} from '../membership/index.js';

/** Longest wait for another entry's answer, in milliseconds. */
const answerMs = 2000;
/** Most entries asked; the rest is named as not asked. */
const maxAsked = 400;
const parallel = 32;

/** What one entry remembers. */
export type EntryEvents = {readonly vm: string; readonly events: readonly HistoryEvent[]};

/** Asks other entries for their events, within a bounded time, and names those who did not answer. */
export async function collectFromMembers(members: readonly Member[], path: string, query: Readonly<Record<string, string>>) {
	const found: EntryEvents[] = [];
	const unheard = members.slice(maxAsked).map(member => member.vm);
	const waiting = members.slice(0, maxAsked);
	const runNext = async (): Promise<void> => {
		for (let member = waiting.shift(); member; member = waiting.shift()) {
			try {
				found.push(...await readEvents(member, path, query));
			} catch {
				unheard.push(member.vm);
			}
		}
	};

	await Promise.all(Array.from({length: parallel}, async () => runNext()));
	return {found: found.toSorted((left, right) => left.vm.localeCompare(right.vm)), unheard};
}

async function readEvents(member: Member, path: string, query: Readonly<Record<string, string>>): Promise<readonly EntryEvents[]> {
	const answer = await request(`http://${member.http}${path}`, {
		query, signal: AbortSignal.timeout(answerMs), headersTimeout: answerMs, bodyTimeout: answerMs,
	});
	const {answers} = await answer.body.json() as {readonly answers: readonly EntryEvents[]};
	return answers;
}

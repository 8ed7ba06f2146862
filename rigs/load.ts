import {engineEvent} from '../standins/engine/index.js';
import type {EngineRow} from '../standins/engine/index.js';
import {
	collectChat, hashText, readEngineJournal, runChat,
} from './calls.js';
import type {ChatCall, ChatResult} from './calls.js';
import type {RunningDeployment} from './deployment.js';

/** Many chats, spread over the entries, some read as streams and some taken in one piece. */
export type ChatLoad = {
	readonly model: string;
	readonly count: number;
	/** Chats in progress at a time. */
	readonly inFlight: number;
	/** Makes the chat of an index. */
	readonly createCall: (index: number) => Omit<ChatCall, 'model'>;
};

/** Runs a load against the origins in turn, and returns the results in the order of the indexes. */
export async function runChats(origins: readonly string[], load: ChatLoad): Promise<ChatResult[]> {
	const results: ChatResult[] = [];
	let next = 0;
	const runNext = async () => {
		while (next < load.count) {
			const index = next++;
			const call = {...load.createCall(index), model: load.model};
			const origin = origins[index % origins.length]!;
			results[index] = await (index % 2 === 0 ? runChat(origin, call) : collectChat(origin, call));
		}
	};

	await Promise.all(Array.from({length: load.inFlight}, async () => runNext()));
	return results;
}

/** Returns the id by which engines know a request that callers see as `chatcmpl-<domain>.<engine>.<id>.<code>`. */
export function getEngineId(id: string): string {
	return id.split('.')[2] ?? '';
}

/** Collects the journals of every engine. */
export async function collectRows(deployment: RunningDeployment): Promise<EngineRow[]> {
	const engines = deployment.upstreams.filter(({upstream}) => upstream.pieces > 0);
	const journals = await Promise.all(engines.map(async ({origin}) => readEngineJournal(origin)));
	return journals.flat();
}

/** Whether a result is a refusal that says "not run". */
export function isRefusal(result: ChatResult): boolean {
	const failure = result.failure as {readonly error?: {readonly ran?: string}} | undefined;
	return failure?.error?.ran === 'no';
}

/**
Lists the results that are neither whole answers, the same as the engines' journals say of the request, nor refusals
that say "not run" and that no engine ever started.
*/
export function listFaults(results: readonly ChatResult[], rows: readonly EngineRow[]): string[] {
	const hashes = new Map(rows.filter(row => row.event === engineEvent.requestEnded).map(row => [row.id, row.hash]));
	const prompts = new Set(rows.filter(row => row.event === engineEvent.requestStarted).map(row => row.prompt));
	return results.flatMap((result, index) => {
		if (isRefusal(result)) {
			return prompts.has(hashText(`user: ${result.prompt}`)) ? [`${index}: refused as not run, but it was started`] : [];
		}

		if (!result.isWhole) {
			return [`${index}: not whole: ${String(result.failure)}`];
		}

		return hashes.get(getEngineId(result.id)) === hashText(result.text) ? [] : [`${index}: ${result.id} is not what the journal says`];
	});
}

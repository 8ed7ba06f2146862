import {engineEvent} from '../standins/engine/index.js';
import type {EngineRow} from '../standins/engine/index.js';
import {
	collectChat, hashText, readEngineJournal, runChat,
} from './calls.js';
import type {ChatRequest, ChatResult} from './calls.js';
import type {RunningDeployment} from './deployment.js';

/** Many chats, spread over the entries, some read as streams and some taken in one piece. */
export type ChatLoad = {
	readonly model: string;
	readonly count: number;
	/** Chats in progress at a time. */
	readonly concurrency: number;
	/** Makes the chat of an index. */
	readonly createRequest: (index: number) => Omit<ChatRequest, 'model'>;
};

/** Runs a load against the origins in turn, and returns the results in the order of the indexes. */
export async function runChats(origins: readonly string[], load: ChatLoad): Promise<ChatResult[]> {
	const results: ChatResult[] = [];
	let next = 0;
	const runNext = async () => {
		while (next < load.count) {
			const index = next++;
			const call = {...load.createRequest(index), model: load.model};
			const origin = origins[index % origins.length]!;
			results[index] = await (index % 2 === 0 ? runChat(origin, call) : collectChat(origin, call));
		}
	};

	await Promise.all(Array.from({length: load.concurrency}, async () => runNext()));
	return results;
}

/** Returns the id by which engines know a request that callers see as `chatcmpl-<domain>.<engine>.<id>.<code>`. */
export function getEngineRequestId(id: string): string {
	return id.split('.')[2] ?? '';
}

/** Collects the journals of every engine. */
export async function collectEngineRows(deployment: RunningDeployment): Promise<EngineRow[]> {
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
export function listWrongResults(results: readonly ChatResult[], engineRows: readonly EngineRow[]): string[] {
	const hashes = new Map(engineRows.filter(row => row.event === engineEvent.requestEnded).map(row => [row.id, row.hash]));
	const prompts = new Set(engineRows.filter(row => row.event === engineEvent.requestStarted).map(row => row.prompt));
	return results.flatMap((result, index) => {
		if (isRefusal(result)) {
			return prompts.has(hashText(`user: ${result.prompt}`)) ? [`${index}: refused as not run, but it was started`] : [];
		}

		if (!result.isComplete) {
			return [`${index}: not whole: ${String(result.failure)}`];
		}

		return hashes.get(getEngineRequestId(result.id)) === hashText(result.text) ? [] : [`${index}: ${result.id} is not what the journal says`];
	});
}

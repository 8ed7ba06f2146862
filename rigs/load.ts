import {engineEvent} from '../standins/engine/index.js';
import type {EngineRow} from '../standins/engine/index.js';
import {
	collectChat, hashText, readEngineJournal, runChat,
} from './calls.js';
import type {ChatRequest, ChatResult} from './calls.js';
import type {RunningDeployment} from './deployment.js';

/** Many chats, spread over the entries; every second one is read as a stream, the others as one body. */
export type ChatLoad = {
	readonly model: string;
	readonly count: number;
	/** Number of chats in progress at a time. */
	readonly concurrency: number;
	/** Creates the chat of an index, from 0. */
	readonly createRequest: (index: number) => Omit<ChatRequest, 'model'>;
};

/** Sends the chats of a load to the origins in turn, and returns the results by index. */
export async function runChats(origins: readonly string[], load: ChatLoad): Promise<ChatResult[]> {
	const results: ChatResult[] = [];
	let next = 0;
	const runNext = async () => {
		while (next < load.count) {
			const index = next++;
			const request = {...load.createRequest(index), model: load.model};
			const origin = origins[index % origins.length]!;
			results[index] = await (index % 2 === 0 ? runChat(origin, request) : collectChat(origin, request));
		}
	};

	await Promise.all(Array.from({length: load.concurrency}, async () => runNext()));
	return results;
}

/** Extracts the engines' id of a request from the callers' id of its completion, `chatcmpl-<domain>.<engine>.<id>.<code>`. */
export function getEngineRequestId(id: string): string {
	return id.split('.')[2] ?? '';
}

/** Collects the rows of all engines' journals. */
export async function collectEngineRows(deployment: RunningDeployment): Promise<EngineRow[]> {
	const engines = deployment.upstreams.filter(({upstream}) => upstream.pieces > 0);
	const journals = await Promise.all(engines.map(async ({origin}) => readEngineJournal(origin)));
	return journals.flat();
}

/** Whether a result is a refusal that promises that no engine ran the chat. */
export function isRefusal(result: ChatResult): boolean {
	const failure = result.failure as {readonly error?: {readonly ran?: string}} | undefined;
	return failure?.error?.ran === 'no';
}

/**
Lists the wrong results, one message each. A result is right if it is a complete answer with the text that the engines' journals have
for the request, or if it is a refusal as not run and no engine started the chat.
*/
export function listWrongResults(results: readonly ChatResult[], engineRows: readonly EngineRow[]): string[] {
	const hashes = new Map(engineRows.filter(row => row.event === engineEvent.requestEnded).map(row => [row.id, row.hash]));
	const prompts = new Set(engineRows.filter(row => row.event === engineEvent.requestStarted).map(row => row.prompt));
	return results.flatMap((result, index) => {
		if (isRefusal(result)) {
			return prompts.has(hashText(`user: ${result.prompt}`)) ? [`${index}: refused as not run, but an engine started it`] : [];
		}

		if (!result.isComplete) {
			return [`${index}: incomplete answer: ${String(result.failure)}`];
		}

		return hashes.get(getEngineRequestId(result.id)) === hashText(result.text) ? [] : [`${index}: the text of ${result.id} differs from that in the engines' journals`];
	});
}

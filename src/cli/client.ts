import {Buffer} from 'node:buffer';
import {request} from 'undici';
import {EntryRefusedError, EntryUnreachableError} from '../errors/index.js';

const answerMs = 10_000;

/** Asks entries for what operators want; when one can't be reached, the next one is asked. */
export class OperatorClient {
	readonly #entries: readonly string[];

	/** Takes the entries' addresses, `host:port`, in the order of asking. */
	constructor(entries: readonly string[]) {
		this.#entries = entries;
	}

	/** Reads from a path under `/ops/`. Throws `EntryUnreachableError` and `EntryRefusedError`. */
	async read<Result>(path: string, query: Readonly<Record<string, string>> = {}): Promise<Result> {
		return await this.#call('GET', path, {query}) as Result;
	}

	/** Sends to a path under `/ops/`; what is sent carries an id, so that sending it twice asks once. */
	async send<Result>(path: string, body: unknown): Promise<Result> {
		return await this.#call('POST', path, {body: Buffer.from(JSON.stringify(body))}) as Result;
	}

	async #call(method: 'GET' | 'POST', path: string, options: {readonly query?: Readonly<Record<string, string>>; readonly body?: Uint8Array}): Promise<unknown> {
		const failures: string[] = [];
		for (const entry of this.#entries) {
			try {
				return await sendRequest(`http://${entry}/ops/${path}`, {method, ...options});
			} catch (error) {
				if (error instanceof EntryRefusedError) {
					throw error;
				}

				failures.push(`${entry}: ${error instanceof Error ? error.message : String(error)}`);
			}
		}

		throw new EntryUnreachableError(`no entry could be reached: ${failures.join('; ')}`);
	}
}

async function sendRequest(url: string, options: {readonly method: 'GET' | 'POST'; readonly query?: Readonly<Record<string, string>>; readonly body?: Uint8Array}): Promise<unknown> {
	const answer = await request(url, {
		...options, signal: AbortSignal.timeout(answerMs), headersTimeout: answerMs, bodyTimeout: answerMs,
	});
	const body = await answer.body.json() as Readonly<Record<string, unknown>>;
	if (answer.statusCode >= 400) {
		const failure = (body.error ?? {}) as Readonly<Record<string, unknown>>;
		throw new EntryRefusedError(String(failure.message), {props: {status: answer.statusCode, type: String(failure.type), body: failure}});
	}

	return body;
}

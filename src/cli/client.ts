import {Buffer} from 'node:buffer';
import {request} from 'undici';
import {EntryRefusedError, EntryUnreachableError} from '../errors/index.js';

const responseTimeoutMs = 10_000;

/** Client of the entries' HTTP interface for operators (paths under `/ops/`). Calls the next entry when one does not answer or its answer can't be read. */
export class OperatorClient {
	readonly #addresses: readonly string[];

	/** `addresses` are the entries' as `host:port`, in the order in which they are tried. */
	constructor(addresses: readonly string[]) {
		this.#addresses = addresses;
	}

	/**
	Reads from a path under `/ops/`.
	Throws `EntryRefusedError` when an entry answers with a status of 400 or above, `EntryUnreachableError` when no entry gives a readable answer.
	*/
	async read<Result>(path: string, query: Readonly<Record<string, string>> = {}): Promise<Result> {
		return await this.#call('GET', path, {query}) as Result;
	}

	/**
	Posts `body` to a path under `/ops/`; throws as `read` does.
	A request whose answer was lost is sent again to the next entry, so `body` must carry an operation's id, by which a repeat has no further effect.
	*/
	async send<Result>(path: string, body: unknown): Promise<Result> {
		return await this.#call('POST', path, {body: Buffer.from(JSON.stringify(body))}) as Result;
	}

	async #call(method: 'GET' | 'POST', path: string, options: {readonly query?: Readonly<Record<string, string>>; readonly body?: Uint8Array}): Promise<unknown> {
		const failures: string[] = [];
		for (const address of this.#addresses) {
			try {
				return await sendRequest(`http://${address}/ops/${path}`, {method, ...options});
			} catch (error) {
				if (error instanceof EntryRefusedError) {
					throw error;
				}

				failures.push(`${address}: ${error instanceof Error ? error.message : String(error)}`);
			}
		}

		throw new EntryUnreachableError(`no entry could be reached: ${failures.join('; ')}`);
	}
}

async function sendRequest(url: string, options: {readonly method: 'GET' | 'POST'; readonly query?: Readonly<Record<string, string>>; readonly body?: Uint8Array}): Promise<unknown> {
	const response = await request(url, {
		...options, signal: AbortSignal.timeout(responseTimeoutMs), headersTimeout: responseTimeoutMs, bodyTimeout: responseTimeoutMs,
	});
	const body = await response.body.json() as Readonly<Record<string, unknown>>;
	if (response.statusCode >= 400) {
		const refusal = (body.error ?? {}) as Readonly<Record<string, unknown>>;
		throw new EntryRefusedError(String(refusal.message), {props: {status: response.statusCode, type: String(refusal.type), body: refusal}});
	}

	return body;
}

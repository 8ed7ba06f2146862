import {Buffer} from 'node:buffer';
import {request} from 'undici';
import {EntryRefusedError, EntryUnreachableError} from '../errors/index.js';

const responseTimeoutMs = 10_000;

/** Asks entries for what operators want; when one can't be reached, the next one is asked. */
export class OperatorClient {
	readonly #addresses: readonly string[];

	/** Takes the entries' addresses, `host:port`, in the order of asking. */
	constructor(addresses: readonly string[]) {
		this.#addresses = addresses;
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

import {Buffer} from 'node:buffer';
import {Pool} from 'undici';
import {
	LeaseHeldError, StoreConflictError, StoreUnavailableError, StoreUncertainError,
} from '../errors/index.js';
import {
	Store, VmList,
} from './port.js';
import type {LeaseGrant, Versioned, VmRecord} from './port.js';

/** Longest wait for an answer of the store, in milliseconds. */
const answerTimeoutMs = 2000;
const storeConnections = 4;
const notModified = 304;

type Answer = {readonly status: number; readonly body: unknown; readonly tag?: string};
type Call = {
	readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE';
	readonly path: string;
	readonly body?: unknown;
	readonly waitMs?: number;
	readonly signal?: AbortSignal;
	/** Entity tag of what is known; when it still holds the answer is 304 without a body. */
	readonly knownTag?: string;
};

/** The platform's key-value service over HTTP with JSON bodies. */
export class HttpStore extends Store {
	readonly #pool: Pool;

	/** Takes the platform's `origin`, such as `http://127.0.0.1:7000`. */
	constructor(origin: string) {
		super();
		this.#pool = new Pool(origin, {connections: storeConnections, pipelining: 1});
	}

	async read(key: string): Promise<Versioned | undefined> {
		const answer = await this.#read({method: 'GET', path: `/kv/${encodeURIComponent(key)}`});
		return answer.status === 404 ? undefined : answer.body as Versioned;
	}

	async write(key: string, value: string, expectedRevision: number): Promise<number> {
		const answer = await this.#write({method: 'PUT', path: `/kv/${encodeURIComponent(key)}`, body: {value, expectedRevision}});
		if (answer.status === 409) {
			throw new StoreConflictError(`${key} has another revision than ${expectedRevision}`);
		}

		return (answer.body as {revision: number}).revision;
	}

	async watch(key: string, afterRevision: number, waitMs: number, signal?: AbortSignal): Promise<Versioned | undefined> {
		const path = `/watch/${encodeURIComponent(key)}?after=${afterRevision}&wait=${waitMs}`;
		const answer = await this.#read({
			method: 'GET', path, waitMs, signal,
		});
		return answer.status === 204 ? undefined : answer.body as Versioned;
	}

	async acquire(name: string, holder: string, ttlMs: number): Promise<LeaseGrant> {
		const answer = await this.#write({method: 'POST', path: `/leases/${encodeURIComponent(name)}`, body: {holder, ttlMs}});
		if (answer.status === 409) {
			throw new LeaseHeldError(`lease ${name} has another holder`);
		}

		return answer.body as LeaseGrant;
	}

	async release(name: string, holder: string): Promise<void> {
		await this.#write({method: 'DELETE', path: `/leases/${encodeURIComponent(name)}`, body: {holder}});
	}

	/** Closes the connections. */
	async close(): Promise<void> {
		await this.#pool.destroy();
	}

	async #read(call: Call): Promise<Answer> {
		try {
			return await sendCall(this.#pool, call);
		} catch (error) {
			throw new StoreUnavailableError(`${call.method} ${call.path} had no answer`, {cause: error});
		}
	}

	async #write(call: Call): Promise<Answer> {
		try {
			return await sendCall(this.#pool, call);
		} catch (error) {
			if (error instanceof StoreUnavailableError || isConnectFailure(error)) {
				throw new StoreUnavailableError(`${call.method} ${call.path} was not sent`, {cause: error});
			}

			throw new StoreUncertainError(`${call.method} ${call.path} may have taken effect`, {cause: error});
		}
	}
}

/**
The platform's list of VMs over HTTP. It is asked for by its entity tag, so that an unchanged list, which is tens of
kilobytes in a large fleet, is not sent again; a platform that knows no tags sends it whole.
*/
export class HttpVmList extends VmList {
	readonly #pool: Pool;
	#known: readonly VmRecord[] = [];
	#tag: string | undefined;

	/** Takes the platform's `origin`. */
	constructor(origin: string) {
		super();
		this.#pool = new Pool(origin, {connections: 1, pipelining: 1});
	}

	async readVms(): Promise<readonly VmRecord[]> {
		try {
			const answer = await sendCall(this.#pool, {method: 'GET', path: '/vms', knownTag: this.#tag});
			if (answer.status !== notModified) {
				this.#known = (answer.body as {vms: VmRecord[]}).vms;
				this.#tag = answer.tag;
			}

			return this.#known;
		} catch (error) {
			throw new StoreUnavailableError('the list of VMs had no answer', {cause: error});
		}
	}

	/** Closes the connections. */
	async close(): Promise<void> {
		await this.#pool.destroy();
	}
}

async function sendCall(pool: Pool, call: Call): Promise<Answer> {
	const timeoutMs = answerTimeoutMs + (call.waitMs ?? 0);
	const timeout = AbortSignal.timeout(timeoutMs);
	const response = await pool.request({
		method: call.method,
		path: call.path,
		headers: {'content-type': 'application/json', ...(call.knownTag === undefined ? {} : {'if-none-match': call.knownTag})},
		body: call.body === undefined ? undefined : Buffer.from(JSON.stringify(call.body)),
		signal: call.signal ? AbortSignal.any([call.signal, timeout]) : timeout,
		headersTimeout: timeoutMs,
		bodyTimeout: timeoutMs,
	});
	const text = await response.body.text();
	if (response.statusCode === 429 || response.statusCode === 503) {
		throw new StoreUnavailableError(`the store refused with ${response.statusCode}`);
	}

	if (response.statusCode >= 500) {
		throw new StoreUncertainError(`the store failed with ${response.statusCode}`);
	}

	const {etag} = response.headers;
	return {
		status: response.statusCode,
		body: text === '' ? undefined : JSON.parse(text) as unknown,
		tag: typeof etag === 'string' ? etag : undefined,
	};
}

function isConnectFailure(error: unknown): boolean {
	const code = (error as {code?: string}).code ?? '';
	return code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT' || code === 'EHOSTUNREACH' || code === 'ENETUNREACH';
}

import {Buffer} from 'node:buffer';
import {Pool} from 'undici';
import {
	LeaseHeldError, StoreConflictError, StoreUnavailableError, StoreUncertainError,
} from '../errors/index.js';
import {
	Store, VmList,
} from './port.js';
import type {LeaseGrant, VersionedValue, VmRecord} from './port.js';

/** Timeout for a response of the platform, in milliseconds; a watch's own wait is added to it. */
const responseTimeoutMs = 2000;
const maxConnections = 4;
const notModifiedStatus = 304;

type StoreResponse = {readonly status: number; readonly body: unknown; readonly etag?: string};
type StoreRequest = {
	readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE';
	readonly path: string;
	readonly body?: unknown;
	/** How long the platform may hold the response back, in milliseconds. */
	readonly waitMs?: number;
	readonly signal?: AbortSignal;
	/** Entity tag of the cached response body; while it is current, the response is 304 without a body. */
	readonly knownEtag?: string;
};

/** The platform's key-value service over HTTP with JSON bodies. */
export class HttpStore extends Store {
	readonly #pool: Pool;

	/** `origin` is the platform's, such as `http://127.0.0.1:7000`. */
	constructor(origin: string) {
		super();
		this.#pool = new Pool(origin, {connections: maxConnections, pipelining: 1});
	}

	async read(key: string): Promise<VersionedValue | undefined> {
		const response = await this.#read({method: 'GET', path: `/kv/${encodeURIComponent(key)}`});
		return response.status === 404 ? undefined : response.body as VersionedValue;
	}

	async write(key: string, value: string, expectedRevision: number): Promise<number> {
		const response = await this.#write({method: 'PUT', path: `/kv/${encodeURIComponent(key)}`, body: {value, expectedRevision}});
		if (response.status === 409) {
			throw new StoreConflictError(`${key} has another revision than ${expectedRevision}`);
		}

		return (response.body as {revision: number}).revision;
	}

	async watch(key: string, afterRevision: number, waitMs: number, signal?: AbortSignal): Promise<VersionedValue | undefined> {
		const path = `/watch/${encodeURIComponent(key)}?after=${afterRevision}&wait=${waitMs}`;
		const response = await this.#read({
			method: 'GET', path, waitMs, signal,
		});
		return response.status === 204 ? undefined : response.body as VersionedValue;
	}

	async acquire(name: string, holder: string, ttlMs: number): Promise<LeaseGrant> {
		const response = await this.#write({method: 'POST', path: `/leases/${encodeURIComponent(name)}`, body: {holder, ttlMs}});
		if (response.status === 409) {
			throw new LeaseHeldError(`lease ${name} has another holder`);
		}

		return response.body as LeaseGrant;
	}

	async release(name: string, holder: string): Promise<void> {
		await this.#write({method: 'DELETE', path: `/leases/${encodeURIComponent(name)}`, body: {holder}});
	}

	/** Closes all connections; calls in progress fail. */
	async close(): Promise<void> {
		await this.#pool.destroy();
	}

	async #read(request: StoreRequest): Promise<StoreResponse> {
		try {
			return await sendRequest(this.#pool, request);
		} catch (error) {
			throw new StoreUnavailableError(`${request.method} ${request.path} had no answer`, {cause: error});
		}
	}

	async #write(request: StoreRequest): Promise<StoreResponse> {
		try {
			return await sendRequest(this.#pool, request);
		} catch (error) {
			if (error instanceof StoreUnavailableError || isConnectFailure(error)) {
				throw new StoreUnavailableError(`${request.method} ${request.path} was not sent`, {cause: error});
			}

			throw new StoreUncertainError(`${request.method} ${request.path} may have taken effect`, {cause: error});
		}
	}
}

/**
The platform's list of VMs over HTTP. Requests carry the entity tag of the cached list, so that an unchanged list, which is
tens of kilobytes in a large fleet, is not sent again. A platform without entity tags sends the whole list each time.
*/
export class HttpVmList extends VmList {
	readonly #pool: Pool;
	#vms: readonly VmRecord[] = [];
	#etag: string | undefined;

	/** `origin` is the platform's, such as `http://127.0.0.1:7000`. */
	constructor(origin: string) {
		super();
		this.#pool = new Pool(origin, {connections: 1, pipelining: 1});
	}

	async readVms(): Promise<readonly VmRecord[]> {
		try {
			const response = await sendRequest(this.#pool, {method: 'GET', path: '/vms', knownEtag: this.#etag});
			if (response.status !== notModifiedStatus) {
				this.#vms = parseVms(response.body);
				this.#etag = response.etag;
			}

			return this.#vms;
		} catch (error) {
			throw new StoreUnavailableError('the list of VMs had no answer', {cause: error});
		}
	}

	/** Closes all connections; calls in progress fail. */
	async close(): Promise<void> {
		await this.#pool.destroy();
	}
}

/** Decodes the list of VMs. Entries that name no VM to use are left out. Throws when it is no list. */
function parseVms(body: unknown): VmRecord[] {
	const {vms} = body as {vms: unknown};
	if (!Array.isArray(vms)) {
		throw new TypeError('the list of VMs is missing');
	}

	return vms.filter((item: unknown): item is VmRecord => {
		const fields = (typeof item === 'object' && item !== null ? item : {}) as Record<string, unknown>;
		return typeof fields.vm === 'string' && ['domain', 'http', 'peer', 'state'].every(field => fields[field] === undefined || typeof fields[field] === 'string');
	});
}

async function sendRequest(pool: Pool, request: StoreRequest): Promise<StoreResponse> {
	const timeoutMs = responseTimeoutMs + (request.waitMs ?? 0);
	const timeoutSignal = AbortSignal.timeout(timeoutMs);
	const httpResponse = await pool.request({
		method: request.method,
		path: request.path,
		headers: {'content-type': 'application/json', ...(request.knownEtag === undefined ? {} : {'if-none-match': request.knownEtag})},
		body: request.body === undefined ? undefined : Buffer.from(JSON.stringify(request.body)),
		signal: request.signal ? AbortSignal.any([request.signal, timeoutSignal]) : timeoutSignal,
		headersTimeout: timeoutMs,
		bodyTimeout: timeoutMs,
	});
	const text = await httpResponse.body.text();
	if (httpResponse.statusCode === 429 || httpResponse.statusCode === 503) {
		throw new StoreUnavailableError(`the store refused with ${httpResponse.statusCode}`);
	}

	if (httpResponse.statusCode >= 500) {
		throw new StoreUncertainError(`the store failed with ${httpResponse.statusCode}`);
	}

	const {etag} = httpResponse.headers;
	return {
		status: httpResponse.statusCode,
		body: text === '' ? undefined : JSON.parse(text) as unknown,
		etag: typeof etag === 'string' ? etag : undefined,
	};
}

function isConnectFailure(error: unknown): boolean {
	const code = (error as {code?: string}).code ?? '';
	return code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT' || code === 'EHOSTUNREACH' || code === 'ENETUNREACH';
}

import {Buffer} from 'node:buffer';
import {Client} from 'undici';
import type {Upstream} from '../deployment/index.js';
import {
	BrokenAnswerError, NotRunError, refusalReason, UnknownOutcomeError,
} from '../errors/index.js';
import {createProof, relayHeader, relayPath} from '../serving/index.js';
import {
	createConnector, EngineClient, isConnectError, readServerEvents, upstreamHeader,
} from '../upstreams/index.js';
import type {
	CacheEvents, EngineState, GenerateEvent, GenerateRequest, KvHandle, LoadReport, OrderConnection,
} from '../upstreams/index.js';

const connectTimeoutMs = 1000;
const cancelTimeoutMs = 2000;

/**
Client for an engine of another failure domain, reached through an entry there. Each request uses a client and a connection
of its own, so it never gets a pooled connection that has gone silent. Only generating and cancelling are relayed; the other
methods throw `NotRunError`, as orders and reads stay within a failure domain.
*/
export class RelayEngine extends EngineClient {
	readonly #client: Client;
	readonly #upstream: Upstream;
	readonly #secret: string;

	/** `via` is the `host:port` of the entry that relays, `secret` the one that all entries of the deployment share. */
	constructor(via: string, upstream: Upstream, secret: string) {
		super();
		// No timeouts here: a stream is silent during the prefill of a long prompt, and serving limits the time between events.
		this.#client = new Client(`http://${via}`, {headersTimeout: 0, bodyTimeout: 0, connect: createConnector(connectTimeoutMs)});
		this.#upstream = upstream;
		this.#secret = secret;
	}

	async * generate(request: GenerateRequest, signal: AbortSignal): AsyncGenerator<GenerateEvent> {
		const response = await this.#send(relayPath.generate, request, signal);
		if (response.statusCode !== 200) {
			throw await createFailure(response);
		}

		try {
			for await (const data of readServerEvents(response.body)) {
				yield JSON.parse(data) as GenerateEvent;
			}
		} catch (error) {
			throw new BrokenAnswerError('the relayed answer broke off', {cause: error});
		}
	}

	async cancel(id: string): Promise<void> {
		const response = await this.#send(relayPath.cancel, {id}, AbortSignal.timeout(cancelTimeoutMs));
		await response.body.dump();
	}

	async readLoad(): Promise<LoadReport> {
		throw createNotRelayedError();
	}

	async readState(): Promise<EngineState> {
		throw createNotRelayedError();
	}

	async openOrderConnection(): Promise<OrderConnection> {
		throw createNotRelayedError();
	}

	async exportKv(): Promise<KvHandle> {
		throw createNotRelayedError();
	}

	async importKv(): Promise<KvHandle> {
		throw createNotRelayedError();
	}

	async readCacheEvents(): Promise<CacheEvents> {
		throw createNotRelayedError();
	}

	/** Closes the connection. */
	async close(): Promise<void> {
		await this.#client.destroy();
	}

	async #send(path: string, body: {readonly id: string}, signal: AbortSignal) {
		const {id} = this.#upstream;
		try {
			return await this.#client.request({
				method: 'POST',
				path,
				headers: {
					'content-type': 'application/json',
					[relayHeader.upstream]: id,
					[relayHeader.proof]: createProof(this.#secret, id, body.id),
				},
				body: Buffer.from(JSON.stringify(body)),
				signal,
			});
		} catch (error) {
			throw isConnectError(error)
				? new NotRunError('the relaying entry can\'t be reached', {cause: error, props: {isUnreached: true}})
				: new UnknownOutcomeError('the relaying entry gave no answer', {cause: error});
		}
	}
}

async function createFailure(response: {readonly statusCode: number; readonly headers: Readonly<Record<string, unknown>>; readonly body: {text: () => Promise<string>}}): Promise<Error> {
	const text = await response.body.text();
	return response.headers[upstreamHeader.notRun] === '1'
		? new NotRunError(`the relaying entry refused: ${text}`)
		: new BrokenAnswerError(`the relaying entry failed with ${response.statusCode}: ${text}`);
}

function createNotRelayedError(): Error {
	return new NotRunError('only answers are relayed between failure domains', {props: {reason: refusalReason.unavailable}});
}

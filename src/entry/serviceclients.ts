import type {Upstream} from '../deployment/index.js';
import {NotRunError, refusalReason} from '../errors/index.js';
import {createProof, relayHeader, relayPath} from '../serving/index.js';
import {HttpService} from '../upstreams/index.js';
import type {ServiceCall, ServiceClient, ServiceRelay} from '../upstreams/index.js';
import type {EntryDependencies} from './dependencies.js';
import {findEntry} from './placements.js';

const maxClients = 256;

/** Clients for instances of application services, one for each instance and the entry that relays to it, if any. Drains the least recently used ones above `maxClients`. */
export class ServiceClients {
	readonly #clients = new Map<string, HttpService>();
	readonly #dependencies: EntryDependencies;
	readonly #getRandom: () => number;

	constructor(dependencies: EntryDependencies, getRandom: () => number) {
		this.#dependencies = dependencies;
		this.#getRandom = getRandom;
	}

	/** Returns the client for an instance. An instance of another failure domain is reached through an entry there; throws `NotRunError` when none is known. */
	get(upstream: Upstream): ServiceClient {
		if (upstream.domain === this.#dependencies.settings.domain) {
			return this.#getClient(upstream.address, () => new HttpService(upstream.address));
		}

		const via = findEntry({...this.#dependencies, getRandom: this.#getRandom}, upstream.domain);
		if (via === undefined) {
			throw new NotRunError(`no entry of ${upstream.domain} is known`, {props: {reason: refusalReason.noUpstream}});
		}

		return this.#getClient(`${via} ${upstream.id}`, () => new HttpService(via, this.#createRelay(upstream)));
	}

	#createRelay(upstream: Upstream): ServiceRelay {
		const {secret} = this.#dependencies.settings;
		return {
			probePath: '/healthz',
			unknownOutcomeHeader: relayHeader.unknownOutcome,
			wrapCall: (call: ServiceCall) => ({
				...call,
				path: `${relayPath.services}${call.path}`,
				headers: {
					...call.headers,
					[relayHeader.upstream]: upstream.id,
					[relayHeader.proof]: createProof(secret, upstream.id, call.id),
					...(call.isRepeatable ? {} : {[relayHeader.nonRepeatable]: '1'}),
				},
			}),
		};
	}

	#getClient(key: string, create: () => HttpService): HttpService {
		const client = this.#clients.get(key) ?? create();
		this.#clients.delete(key);
		this.#clients.set(key, client);
		const [oldest] = this.#clients;
		if (this.#clients.size > maxClients && oldest) {
			this.#clients.delete(oldest[0]);
			void oldest[1].drain();
		}

		return client;
	}
}

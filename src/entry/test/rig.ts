import {once} from 'node:events';
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import type OpenAI from 'openai';
import polka from 'polka';
import {FakePlatform, FakeStore, FakeVmList} from '../../../faults/fakes/store.js';
import {defaultEngineOptions, EngineServer} from '../../../standins/engine/index.js';
import type {ListeningServer} from '../../../standins/http.js';
import {ServiceServer} from '../../../standins/service/index.js';
import {serviceKind} from '../../deployment/index.js';
import type {Deployment, Upstream} from '../../deployment/index.js';
import {FactTable} from '../../feed/index.js';
import {History} from '../../history/index.js';
import {Metrics} from '../../metrics/index.js';
import {LeastInFlightRouter} from '../../routing/index.js';
import type {Placement, RoutingRequest} from '../../routing/index.js';
import {SystemTimers} from '../../timers/index.js';
import type {TimerService} from '../../timers/index.js';
import {HttpEngine} from '../../upstreams/index.js';
import {addCallerRoutes, createCallers, setServerTimeouts} from '../callers.js';
import type {CallerParts} from '../callerparts.js';
import {findEntry} from '../placements.js';
import {createClient} from './wire.js';

const anyPort = '127.0.0.1:0';
const services = [{
	kind: serviceKind.model,
	name: 'contracts',
	dependsOn: [],
	model: 'contracts',
	version: '1',
	adapters: ['spanish'],
	deadlineMs: 20_000,
	firstTokenMs: 900,
	betweenTokensMs: 54,
	floor: {prefill: 0, decode: 0},
}, {
	kind: serviceKind.application, name: 'refunds', dependsOn: [], deadlineMs: 5000, nonRepeatable: ['POST /refunds'],
}] as const;

/** Sends everything to one upstream when told, through an entry of its domain when that is another. */
class RigRouter extends LeastInFlightRouter {
	only: Upstream | undefined;
	prefill: Upstream | undefined;
	domain = '';
	getVia: (domain: string) => string | undefined = () => undefined;

	override choosePlacement(work: RoutingRequest, excluded: ReadonlySet<string>): Placement {
		const upstream = this.only?.service === work.service ? this.only : super.choosePlacement(work, excluded).upstream;
		return {upstream, prefillEngine: this.prefill, relayAddress: upstream.domain === this.domain ? undefined : this.getVia(upstream.domain)};
	}

	override chooseInstance(service: string, excluded: ReadonlySet<string>): Upstream {
		return this.only?.service === service ? this.only : super.chooseInstance(service, excluded);
	}
}

/** An entry over HTTP in this process. */
export type RigEntry = {
	readonly address: string;
	readonly parts: CallerParts;
	readonly router: RigRouter;
	readonly server: Server;
	readonly client: OpenAI;
	readonly store: FakeStore;
};

/** Entries over HTTP in front of stand-ins over HTTP; only the store is in memory. */
export class EntryRig {
	readonly timers = new SystemTimers();
	readonly platform = new FakePlatform(this.timers);
	readonly engines = new Map<string, EngineServer>();
	readonly instances = new Map<string, ServiceServer>();
	readonly upstreams: Upstream[] = [];
	readonly entries: RigEntry[] = [];
	readonly #listening: ListeningServer[] = [];
	readonly #clients: HttpEngine[] = [];

	/** Starts an engine's stand-in. */
	async startEngine(id: string, domain: string, graceMs = 2000): Promise<EngineServer> {
		const shell = new EngineServer(this.timers, {...defaultEngineOptions, timeScale: 0.1, reattachTimeoutMs: graceMs});
		this.#addUpstream(id, domain, {service: 'contracts', listening: await shell.start(anyPort)});
		this.engines.set(id, shell);
		return shell;
	}

	/** Starts a service's stand-in. */
	async startService(id: string, domain: string): Promise<ServiceServer> {
		const shell = new ServiceServer(this.timers);
		this.#addUpstream(id, domain, {service: 'refunds', listening: await shell.start(anyPort)});
		this.instances.set(id, shell);
		return shell;
	}

	/** Starts an entry. */
	async startEntry(vm: string, domain: string, timers: TimerService = this.timers): Promise<RigEntry> {
		const facts = new FactTable();
		const store = new FakeStore(this.platform);
		const router = new RigRouter(facts, service => this.upstreams.filter(upstream => upstream.service === service && upstream.domain === domain));
		const parts = createCallers({
			settings: {
				vm, domain, http: anyPort, peer: anyPort, platform: 'http://127.0.0.1:1', secret: 'a secret of the tests', balancerWaitMs: 50, seeds: [],
			},
			timers,
			store,
			vms: new FakeVmList(this.platform),
			facts,
			metrics: new Metrics(),
			history: new History(timers),
			router,
			getDeployment: () => this.#createDeployment(),
			getEngine: upstream => this.#createEngine(upstream),
		});
		router.domain = domain;
		router.getVia = other => findEntry(parts, other);
		const app = polka();
		addCallerRoutes(app, parts);
		app.listen(0, '127.0.0.1');
		const server = app.server as Server;
		await once(server, 'listening');
		setServerTimeouts(server);
		const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
		const client = createClient(address);
		const entry = {
			address, parts, router, server, client, store,
		};
		this.entries.push(entry);
		return entry;
	}

	/** Tells every entry of every other, as the feed does. */
	publishMembers(): void {
		for (const {parts} of this.entries) {
			for (const {parts: {settings: {vm, domain}}, address} of this.entries) {
				parts.facts.merge({
					kind: 'member',
					key: vm,
					version: 1,
					value: {
						vm, domain, http: address, peer: address, incarnation: 1, state: 'live', configuration: 1, closed: {},
					},
				});
			}
		}
	}

	/** Finds an upstream by its id. */
	getUpstream(id: string): Upstream {
		const upstream = this.upstreams.find(candidate => candidate.id === id);
		if (!upstream) {
			throw new RangeError(`${id} is not of this rig`);
		}

		return upstream;
	}

	/** Ends everything. */
	async close(): Promise<void> {
		for (const {server} of this.entries) {
			server.close();
			server.closeAllConnections();
		}

		await Promise.all(this.#clients.map(async client => client.close()));
		await Promise.all(this.#listening.map(async listening => listening.close()));
	}

	#addUpstream(id: string, domain: string, {service, listening}: {readonly service: string; readonly listening: ListeningServer}): void {
		this.#listening.push(listening);
		this.upstreams.push({
			id, service, domain, address: listening.address, fenced: true, pieces: 64,
		});
	}

	#createDeployment(): Deployment {
		return {
			name: 'test', goodputWeight: 0.5, domains: ['d1', 'd2'], callers: {requestsPerSecond: 1e6, tokensPerSecond: 1e9}, services, upstreams: this.upstreams,
		};
	}

	#createEngine(upstream: Upstream): HttpEngine {
		const client = new HttpEngine(upstream.address);
		this.#clients.push(client);
		return client;
	}
}

import {mkdtempSync, rmSync} from 'node:fs';
import http from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {Link} from '../rigs/link.js';
import {
	createConfiguration, FleetEngine, FleetStore,
} from '../standins/fleet/index.js';
import type {Arrival, FleetEngineOptions, StoreCopy} from '../standins/fleet/index.js';
import type {RandomSource} from '../src/rates/index.js';
import {SoakVm, ports} from './vm.js';
import type {Incarnation} from './vm.js';

/** Begins the ids of entries that another writer leaves among those of the engines. */
export const oddEntryPrefix = 'odd';

/** Number of VMs unless a run names another. */
export const defaultVmCount = 3;
const engineShapes: ReadonlyArray<Omit<FleetEngineOptions, 'id'> & {readonly name: string}> = [
	{name: 'app1', service: 'app', workMs: 12},
	{name: 'app2', service: 'app', workMs: 12},
	{
		name: 'prefill1', service: 'llm', stage: 'prefill', workMs: 8,
	},
	{
		name: 'decode1', service: 'llm', stage: 'decode', eventCount: 4, eventIntervalMs: 8,
	},
	{
		name: 'decode2', service: 'llm', stage: 'decode', eventCount: 4, eventIntervalMs: 8,
	},
];
/** What the engines have in runs in which callers come near their capacity: a silent engine then leaves too little room. */
const narrowShapes: Readonly<Record<string, Partial<FleetEngineOptions>>> = {
	app: {workMs: 100, slots: 3},
	decode: {eventIntervalMs: 100, slots: 5},
};
/** Times that callers may give, in milliseconds: shorter than the longest silence, and long enough to outlast several. */
const deadlinesMs = [1500, 6000] as const;

/** What stays the same through a run, and differs between runs. */
export type RunShape = {
	/** Time that callers and routes give for an answer, in milliseconds. */
	readonly deadlineMs: number;
	/** Whether callers come near the engines' capacity. */
	readonly isNarrow: boolean;
};

/** Picks the shape of a run, with a source of its own. */
export function pickShape(random: RandomSource): RunShape {
	// The first number of a source differs little between seeds that differ little.
	random.getRandom();
	return {deadlineMs: deadlinesMs[random.pickIndex(deadlinesMs.length)]!, isNarrow: random.getRandom() < 0.5};
}

/** Block of prompts on which the engines crash that decode. */
export const crashingBlock = 'crash';
/** Time after which an engine that crashed on a request is started again, in milliseconds. */
const restartMs = 1500;
/** Time within which every entry has to be ready at the start of a run, in milliseconds. */
const startTimeoutMs = 40_000;

/** Interval at which the store is copied, in milliseconds, and the number of copies that are kept. */
const copyIntervalMs = 250;
const maxCopies = 40;

/** An address at which one incarnation of an engine after another runs. */
export type EngineHost = {
	readonly name: string;
	readonly options: Omit<FleetEngineOptions, 'id'>;
	/** Number of the next incarnation; part of its id. */
	nextNumber: number;
	/** Id of the latest incarnation; empty before the first start. */
	id: string;
	/** `host:port`, the same for all incarnations; empty before the first start. */
	address: string;
	/** The latest incarnation. */
	engine: FleetEngine;
	isUp: boolean;
};

/** An engine that left, and the monotonic time at which the store confirmed it, in milliseconds. */
export type Departure = {readonly name: string; readonly engine: FleetEngine; readonly confirmedAt: number};

/** A version of the configuration and the monotonic time at which the operator wrote it, in milliseconds. */
export type WrittenVersion = {readonly version: number; readonly writtenAt: number};

/**
Everything under test, on loopback: entries as processes of their own, stand-ins of the store and the engines in this process,
and a link that faults can be injected into between any two that talk to each other.
*/
export class SoakWorld {
	readonly store = new FleetStore();
	readonly vms: SoakVm[] = [];
	readonly engineHosts: EngineHost[] = [];
	/** All incarnations of engines so far, those that have ended included. */
	readonly startedEngines: Array<{readonly name: string; readonly engine: FleetEngine}> = [];
	readonly versions: WrittenVersion[] = [];
	/** Monotonic times at which engines crashed on requests, in milliseconds. */
	readonly crashes: number[] = [];
	/** Engines that left, each with the monotonic time at which the store confirmed it, in milliseconds. */
	readonly departures: Departure[] = [];
	/** Copies of the store, the oldest first. */
	readonly #copies: Array<{readonly madeAt: number; readonly copy: StoreCopy}> = [];
	readonly #copyTimer = setInterval(() => {
		this.#copies.push({madeAt: performance.now(), copy: this.store.exportCopy()});
		this.#copies.splice(0, this.#copies.length - maxCopies);
	}, copyIntervalMs);

	#isClosed = false;
	/** The configuration that the operator wrote last. */
	#configuration: Record<string, unknown> = {};
	/** Registrations of engines written again so far; each raises the sequence of the next. */
	#writes = 0;
	readonly #links = new Map<string, Link>();
	readonly #folder = mkdtempSync(path.join(tmpdir(), 'crocus-soak-'));
	readonly #addressPrefix = `127.${64 + (process.pid % 128)}.${Math.floor(process.pid / 128) % 256}`;

	constructor(readonly shape: RunShape, onExit: (vm: SoakVm, incarnation: Incarnation) => void, vmCount = defaultVmCount) {
		for (let index = 0; index < vmCount; index++) {
			this.vms.push(new SoakVm(`vm${index + 1}`, `${this.#addressPrefix}.${index + 1}`, this.#folder, onExit));
		}
	}

	/** Starts everything and waits until every entry is ready; throws if that takes longer than {@link startTimeoutMs}. */
	async start(): Promise<void> {
		await this.store.start();
		this.writeConfiguration();
		for (const {name, ...plainOptions} of engineShapes) {
			const options = {...plainOptions, ...this.shape.isNarrow && narrowShapes[plainOptions.stage ?? plainOptions.service]};
			const engineHost: EngineHost = {
				name, options, nextNumber: 0, id: '', address: '', engine: new FleetEngine({...options, id: ''}), isUp: false,
			};
			this.engineHosts.push(engineHost);
			await this.startEngine(engineHost);
		}

		for (const vm of this.vms) {
			const link = await this.#openLink(`${vm.name}>store`, this.store.address, vm.ip);
			vm.writeSettings(link.address, []);
			const targets = [
				...this.engineHosts.map(({name, address}) => ({name, address})),
				...this.vms.filter(other => other !== vm).map(({name, ip}) => ({name, address: `${ip}:${ports.peers}`})),
			];
			const links: Record<string, string> = {};
			for (const {name, address} of targets) {
				const {address: linkAddress} = await this.#openLink(`${vm.name}>${name}`, address);
				links[address] = linkAddress;
			}

			vm.links = links;
			// A fault may pick the link of a VM to itself, which nothing uses.
			await this.#openLink(`${vm.name}>${vm.name}`, `${vm.ip}:${ports.peers}`);
		}

		for (const vm of this.vms) {
			vm.start();
		}

		const startedAt = performance.now();
		for (let areReady = false; !areReady;) {
			const answers = await Promise.all(this.vms.map(async vm => this.checkReady(vm)));
			areReady = answers.every(Boolean);
			if (performance.now() - startedAt > startTimeoutMs) {
				throw new Error(`Some of ${this.vms.length} entries were not ready within ${startTimeoutMs} ms; their standard error: ${this.vms.map(({stderr}) => stderr).join(' ').slice(0, 800)}`);
			}

			await sleep(50);
		}
	}

	/** Starts the next incarnation of an engine under a new id, unless one runs, and replaces the registration of the last one. */
	async startEngine(engineHost: EngineHost): Promise<void> {
		if (engineHost.isUp) {
			return;
		}

		engineHost.isUp = true;
		const id = `${engineHost.name}-${engineHost.nextNumber++}`;
		engineHost.engine = new FleetEngine({
			...engineHost.options, id, crashingBlocks: new Set([crashingBlock]), onCrash: () => {
				this.#onCrash(engineHost, id);
			},
		});
		await engineHost.engine.start(engineHost.address === '' ? 0 : Number(engineHost.address.split(':')[1]));
		engineHost.address = engineHost.engine.address;
		this.startedEngines.push({name: engineHost.name, engine: engineHost.engine});
		if (engineHost.id !== '') {
			this.store.remove(`servers/${engineHost.id}`);
		}

		engineHost.id = id;
		this.store.write(`servers/${id}`, engineHost.engine.registration);
	}

	/** Crashes an engine; its registration stays until the next incarnation starts. */
	async stopEngine(engineHost: EngineHost): Promise<void> {
		if (engineHost.isUp) {
			engineHost.isUp = false;
			await engineHost.engine.stop();
		}
	}

	/** Removes the registration of an engine, which goes on serving; `isAnnounced` tells whether it says that it leaves first. */
	removeRegistration(engineHost: EngineHost, isAnnounced: boolean): void {
		const {name, engine, id} = engineHost;
		if (isAnnounced) {
			this.#writes++;
			this.store.write(`servers/${id}`, {...engine.registration, state: 'draining', seq: 1 + this.#writes});
		} else {
			this.store.remove(`servers/${id}`);
		}

		if (!this.departures.some(departure => departure.engine === engine)) {
			this.departures.push({name, engine, confirmedAt: performance.now()});
		}
	}

	/** Writes the next version of the configuration, with a route that no other version has, so that an answer shows which version is in force. */
	writeConfiguration(): void {
		const version = this.versions.length + 1;
		const configuration = createConfiguration(version);
		const routes = (configuration.routes as Array<Record<string, unknown>>).map(route => ({...route, timeout_ms: this.shape.deadlineMs}));
		this.#configuration = {...configuration, routes: [...routes, {...routes[0], name: `probe-${version}`, path_prefix: `/probe-${version}/`}]};
		this.store.write('op/config', this.#configuration);
		this.versions.push({version, writtenAt: performance.now()});
	}

	/** Brings the store back from the latest copy that is at least `ageMs` old, or from the oldest one. */
	restoreStore(ageMs: number): void {
		const before = performance.now() - ageMs;
		const {copy} = this.#copies.findLast(({madeAt}) => madeAt <= before) ?? this.#copies[0]!;
		this.store.replaceContents(copy);
	}

	/** Writes the latest configuration and the registrations of the running engines again, and removes the others, as their owners do after the store came back from a copy. */
	rewriteStore(): void {
		this.store.write('op/config', this.#configuration);
		const hasLeft = ({engine}: EngineHost) => this.departures.some(departure => departure.engine === engine);
		const running = this.engineHosts.filter(engineHost => engineHost.isUp && !hasLeft(engineHost));
		for (const key of this.store.listKeys('servers/')) {
			if (!this.engineHosts.some(engineHost => key === `servers/${engineHost.id}` && !hasLeft(engineHost))) {
				this.store.remove(key);
			}
		}

		for (const {id, engine} of running) {
			this.#writes++;
			this.store.write(`servers/${id}`, {...engine.registration, seq: 1 + this.#writes});
		}
	}

	/** Returns the link from a VM to another VM, an engine or the store, each given by name. */
	getLink(from: string, to: string): Link {
		return this.#links.get(`${from}>${to}`)!;
	}

	/** Lists the engines that serve a service, by name. */
	listEngineNames(service: string): string[] {
		return this.engineHosts.filter(({options}) => options.service === service).map(({name}) => name);
	}

	/** Lists all requests that arrived at engines, ended incarnations included. */
	listArrivals(): Arrival[] {
		return this.startedEngines.flatMap(({engine}) => engine.arrivals);
	}

	/** Whether an entry answers its readiness check with status 200. */
	async checkReady(vm: SoakVm): Promise<boolean> {
		return new Promise(resolve => {
			http.get(`http://${vm.ip}:${ports.ready}/readyz`, {agent: false, timeout: 1000}, response => {
				response.resume();
				resolve(response.statusCode === 200);
			}).on('error', () => {
				resolve(false);
			}).on('timeout', () => {
				resolve(false);
			});
		});
	}

	/** Ends everything that was started and removes the settings files. */
	async close(): Promise<void> {
		this.#isClosed = true;
		clearInterval(this.#copyTimer);
		for (const vm of this.vms) {
			vm.close();
		}

		while (this.vms.some(vm => vm.isRunning)) {
			await sleep(20);
		}

		await Promise.all(this.engineHosts.map(async engineHost => this.stopEngine(engineHost)));
		await Promise.all([...this.#links.values()].map(async link => link.close()));
		await this.store.stop();
		rmSync(this.#folder, {recursive: true, force: true});
	}

	#onCrash(engineHost: EngineHost, id: string): void {
		if (engineHost.id !== id || !engineHost.isUp) {
			return;
		}

		engineHost.isUp = false;
		this.crashes.push(performance.now());
		setTimeout(() => {
			if (!this.#isClosed) {
				void this.startEngine(engineHost);
			}
		}, restartMs);
	}

	async #openLink(name: string, target: string, localAddress?: string): Promise<Link> {
		const link = new Link(target, localAddress);
		await link.start();
		this.#links.set(name, link);
		return link;
	}
}

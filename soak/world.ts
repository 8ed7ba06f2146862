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
import type {Arrival, FleetEngineOptions} from '../standins/fleet/index.js';
import {SoakVm, ports} from './vm.js';
import type {Life} from './vm.js';

const vmCount = 3;
const shapes: ReadonlyArray<Omit<FleetEngineOptions, 'id'> & {readonly name: string}> = [
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
/** Time within which the first start of everything has to be done, in milliseconds. */
const startLimitMs = 40_000;

/** Where an engine runs: one lifetime after another at the same address. */
export type EngineSite = {
	readonly name: string;
	readonly options: Omit<FleetEngineOptions, 'id'>;
	number: number;
	id: string;
	/** Address of its lifetimes; reused by the next one. */
	address: string;
	engine: FleetEngine;
	isUp: boolean;
};

/** When the operator wrote a version of the configuration. */
export type WrittenVersion = {readonly version: number; readonly at: number};

/** The programs on loopback: entries as processes, stand-ins in this one, and a link on every way between them. */
export class SoakWorld {
	readonly store = new FleetStore();
	readonly vms: SoakVm[] = [];
	readonly sites: EngineSite[] = [];
	readonly engines: FleetEngine[] = [];
	readonly versions: WrittenVersion[] = [];
	readonly #links = new Map<string, Link>();
	readonly #folder = mkdtempSync(path.join(tmpdir(), 'crocus-soak-'));
	readonly #base = `127.${64 + (process.pid % 128)}.${Math.floor(process.pid / 128) % 256}`;

	constructor(onExit: (vm: SoakVm, life: Life) => void) {
		for (let index = 0; index < vmCount; index++) {
			this.vms.push(new SoakVm(`vm${index + 1}`, `${this.#base}.${index + 1}`, this.#folder, onExit));
		}
	}

	/** Starts everything and waits until every entry is ready. */
	async start(): Promise<void> {
		await this.store.start();
		this.store.rewriteRead = (key, text, caller) => this.#changeAddress(key, text, caller);
		this.writeConfiguration();
		for (const {name, ...options} of shapes) {
			const site: EngineSite = {
				name, options, number: 0, id: '', address: '', engine: new FleetEngine({...options, id: ''}), isUp: false,
			};
			this.sites.push(site);
			await this.startEngine(site);
		}

		for (const vm of this.vms) {
			const link = await this.#openLink(`${vm.name}>store`, this.store.address, vm.ip);
			vm.writeSettings(link.address, []);
			for (const site of this.sites) {
				await this.#openLink(`${vm.name}>${site.name}`, site.address);
			}

			for (const other of this.vms) {
				await this.#openLink(`${vm.name}>${other.name}`, `${other.ip}:${ports.peers}`);
			}
		}

		for (const vm of this.vms) {
			vm.start();
		}

		const startedAt = performance.now();
		for (let areReady = false; !areReady;) {
			const answers = await Promise.all(this.vms.map(async vm => this.askReady(vm)));
			areReady = answers.every(Boolean);
			if (performance.now() - startedAt > startLimitMs) {
				throw new Error(`The entries were not ready in time. ${this.vms.map(({errors}) => errors).join(' ').slice(0, 800)}`);
			}

			await sleep(50);
		}
	}

	/** Starts the next lifetime of an engine at the same address, under a new id. */
	async startEngine(site: EngineSite): Promise<void> {
		if (site.isUp) {
			return;
		}

		site.isUp = true;
		const id = `${site.name}-${site.number++}`;
		site.engine = new FleetEngine({...site.options, id});
		await site.engine.start(site.address === '' ? 0 : Number(site.address.split(':')[1]));
		site.address = site.engine.address;
		this.engines.push(site.engine);
		if (site.id !== '') {
			this.store.remove(`servers/${site.id}`);
		}

		site.id = id;
		this.store.write(`servers/${id}`, site.engine.registration);
	}

	/** Crashes an engine; its registration stays until its next lifetime. */
	async stopEngine(site: EngineSite): Promise<void> {
		if (site.isUp) {
			site.isUp = false;
			await site.engine.stop();
		}
	}

	/** Writes the next version of the configuration, with a route that only this version has. */
	writeConfiguration(): void {
		const version = this.versions.length + 1;
		const configuration = createConfiguration(version);
		const routes = configuration.routes as Array<Record<string, unknown>>;
		this.store.write('op/config', {...configuration, routes: [...routes, {...routes[0], name: `probe-${version}`, path_prefix: `/probe-${version}/`}]});
		this.versions.push({version, at: performance.now()});
	}

	/** Finds the link from a VM to another VM, an engine or the store. */
	getLink(from: string, to: string): Link {
		return this.#links.get(`${from}>${to}`)!;
	}

	/** Lists all arrivals at engines, gone ones included. */
	listArrivals(): Arrival[] {
		return this.engines.flatMap(engine => engine.arrivals);
	}

	/** Whether an entry's process runs and says that it takes connections. */
	async askReady(vm: SoakVm): Promise<boolean> {
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

	/** Ends everything that was started. */
	async close(): Promise<void> {
		for (const vm of this.vms) {
			vm.close();
		}

		while (this.vms.some(vm => vm.isRunning)) {
			await sleep(20);
		}

		await Promise.all(this.sites.map(async site => this.stopEngine(site)));
		await Promise.all([...this.#links.values()].map(async link => link.close()));
		await this.store.stop();
		rmSync(this.#folder, {recursive: true, force: true});
	}

	async #openLink(name: string, target: string, localAddress?: string): Promise<Link> {
		const link = new Link(target, localAddress);
		await link.start();
		this.#links.set(name, link);
		return link;
	}

	/** Lets each VM find its own links in place of engines and other VMs. */
	#changeAddress(key: string, text: string, caller: string): string {
		const vm = this.vms.find(({ip}) => ip === caller);
		const [folder, id = ''] = key.split('/');
		const target = folder === 'servers' ? id.split('-')[0]! : id;
		if (!vm || (folder !== 'servers' && folder !== 'entries') || target === vm.name) {
			return text;
		}

		return JSON.stringify({...JSON.parse(text) as Record<string, unknown>, address: this.getLink(vm.name, target).address});
	}
}

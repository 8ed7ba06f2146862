import type {ChildProcess} from 'node:child_process';
import {createHash} from 'node:crypto';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {parseDeployment, serviceKind} from '../src/deployment/index.js';
import type {Deployment, Upstream} from '../src/deployment/index.js';
import {storeKey} from '../src/store/index.js';
import {Link} from './link.js';
import {findFreeAddresses} from './ports.js';
import {ProcessGroup, waitForOk} from './processgroup.js';

/** How to start a deployment. */
export type DeploymentOptions = {
	/** Configuration text; the addresses in it are replaced by free ones on loopback. */
	readonly configurationText: string;
	readonly entriesPerDomain: number;
	/** Factor on all simulated times of the engines: below 1, they work faster. */
	readonly timeScale: number;
	/** Whether entries reach each upstream through a {@link Link}, into which faults can be injected. */
	readonly isLinked: boolean;
	/** Time that a stopping entry goes on serving while the load balancer takes it out, in milliseconds. */
	readonly balancerWaitMs: number;
};

const defaultOptions: Omit<DeploymentOptions, 'configurationText'> = {
	entriesPerDomain: 2, timeScale: 0.1, isLinked: false, balancerWaitMs: 300,
};

/** An upstream and its process. */
export type RunningUpstream = {
	readonly upstream: Upstream;
	/** Origin of the process itself, past the link, for its journal and control. */
	readonly origin: string;
	readonly link: Link | undefined;
	/** Its compiled program, and the parameters that it is started with. */
	readonly programFile: string;
	readonly parameters: readonly string[];
	child: ChildProcess;
};

/** An entry and its process. */
export type RunningEntry = {
	readonly vm: string;
	readonly domain: string;
	/** Origin for callers and operators. */
	readonly origin: string;
	readonly http: string;
	readonly peer: string;
	/** Path of its settings file. */
	readonly settingsFile: string;
	child: ChildProcess;
};

/**
A whole deployment as separate processes on loopback: a stand-in of the platform, stand-ins of the upstreams, and entries in each
failure domain.

@example
```
const deployment = new RunningDeployment({configurationText});
await deployment.start();
await deployment.close();
```
*/
export class RunningDeployment {
	readonly entries: RunningEntry[] = [];
	readonly upstreams: RunningUpstream[] = [];
	/** Origin of the platform; empty before the start. */
	platform = '';
	/** The configuration text; from the start on, with the addresses on loopback. */
	configurationText: string;
	readonly #options: DeploymentOptions;
	readonly #processes = new ProcessGroup();
	readonly #folder = mkdtempSync(path.join(tmpdir(), 'crocus-'));

	constructor(options: Partial<DeploymentOptions> & {readonly configurationText: string}) {
		this.#options = {...defaultOptions, ...options};
		this.configurationText = options.configurationText;
	}

	/** Starts everything and returns when every entry is ready. */
	async start(): Promise<void> {
		try {
			await this.#startAll();
		} catch (error) {
			throw new RangeError(`the deployment did not start; processes that ended: ${this.#processes.unexpectedExits.join('; ') || 'none'}`, {cause: error});
		}
	}

	/** Whether all of its processes run; a test may have left one ended. */
	get isWhole(): boolean {
		return this.#processes.runningCount === 1 + this.upstreams.length + this.entries.length;
	}

	/** Starts an entry's program again, with an empty memory, after its process has ended. */
	restartEntry(entry: RunningEntry): void {
		entry.child = this.#processes.start('dist/src/entry/main.js', [entry.settingsFile]);
	}

	/** Starts an upstream's program again, with an empty memory, after its process has ended. */
	restartUpstream(upstream: RunningUpstream): void {
		upstream.child = this.#processes.start(upstream.programFile, upstream.parameters);
	}

	/** Returns an upstream by its id in the configuration; throws if there is none. */
	getUpstream(id: string): RunningUpstream {
		const found = this.upstreams.find(({upstream}) => upstream.id === id);
		if (!found) {
			throw new RangeError(`the configuration has no upstream ${id}`);
		}

		return found;
	}

	/** Kills every process and removes the settings files. */
	async close(): Promise<void> {
		await this.#processes.close();
		await Promise.all(this.upstreams.map(async ({link}) => link?.close()));
		rmSync(this.#folder, {recursive: true});
	}

	async #startAll(): Promise<void> {
		const deployment = parseDeployment(this.configurationText);
		const entryCount = deployment.domains.length * this.#options.entriesPerDomain;
		const addresses = await findFreeAddresses(1 + deployment.upstreams.length + (2 * entryCount));
		const takeAddress = () => addresses.pop()!;
		this.#startPlatform(takeAddress());
		for (const upstream of deployment.upstreams) {
			await this.#startUpstream(deployment, upstream, takeAddress());
		}

		await waitForOk(`${this.platform}/vms`);
		await Promise.all(this.upstreams.map(async ({origin}) => waitForOk(`${origin}/journal`)));
		await this.#writeConfiguration();
		for (const domain of deployment.domains) {
			for (let index = 1; index <= this.#options.entriesPerDomain; index++) {
				this.#addEntry(`${domain}-vm-${index}`, domain, takeAddress(), takeAddress());
			}
		}

		await this.#writeVms();
		await Promise.all(this.entries.map(async entry => waitForOk(`${entry.origin}/readyz`)));
	}

	#startPlatform(address: string): void {
		this.platform = `http://${address}`;
		this.#processes.start('dist/standins/platform/main.js', [address]);
	}

	async #startUpstream(deployment: Deployment, upstream: Upstream, address: string): Promise<void> {
		const service = deployment.services.find(({name}) => name === upstream.service);
		const link = this.#options.isLinked ? new Link(address) : undefined;
		await link?.start();
		this.configurationText = this.configurationText.replace(`"${upstream.address}"`, `"${link?.address ?? address}"`);
		const isModel = service?.kind === serviceKind.model;
		const file = isModel ? 'dist/standins/engine/main.js' : 'dist/standins/service/main.js';
		const parameters = isModel
			? [
				address,
				'--model',
				service.model,
				'--version',
				service.version,
				'--adapters',
				service.adapters.join(','),
				'--pieces',
				String(upstream.pieces),
				'--time-scale',
				String(this.#options.timeScale),
				'--weights',
				this.platform,
				...upstream.fenced ? [] : ['--unfenced'],
			]
			: [address];
		this.upstreams.push({
			upstream, origin: `http://${address}`, link, programFile: file, parameters, child: this.#processes.start(file, parameters),
		});
	}

	#addEntry(vm: string, domain: string, http: string, peer: string): void {
		const file = path.join(this.#folder, `${vm}.toml`);
		writeFileSync(file, `vm = "${vm}"
domain = "${domain}"
http = "${http}"
peer = "${peer}"
platform = "${this.platform}"
secret = "a secret of a deployment on loopback"
balancerWaitMs = ${this.#options.balancerWaitMs}
`);
		const child = this.#processes.start('dist/src/entry/main.js', [file]);
		this.entries.push({
			vm, domain, origin: `http://${http}`, http, peer, settingsFile: file, child,
		});
	}

	async #writeConfiguration(): Promise<void> {
		const {configurationText} = this;
		const hash = createHash('sha256').update(configurationText).digest('hex');
		const value = JSON.stringify({
			version: 1, text: configurationText, hash, operation: 'start',
		});
		await sendPut(`${this.platform}/kv/${storeKey.configuration}`, {value, expectedRevision: 0});
	}

	async #writeVms(): Promise<void> {
		const vms = this.entries.map(({vm, domain, http, peer}) => ({
			vm, domain, http, peer, state: 'live',
		}));
		await sendPut(`${this.platform}/vms`, {vms});
	}
}

async function sendPut(url: string, body: unknown): Promise<void> {
	const response = await fetch(url, {method: 'PUT', body: JSON.stringify(body)});
	if (!response.ok) {
		throw new RangeError(`PUT ${url} was answered with status ${response.status}`);
	}
}

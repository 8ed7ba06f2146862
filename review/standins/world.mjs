/* eslint-disable camelcase -- Field names are those of the users' platform. */
// Starts the project's program as the deploy file says, one process for each VM, with the settings of a small deployment; keeps the record of a case.
import {spawn} from 'node:child_process';
import {
	appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import http from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {sleep} from './http.mjs';
import {Store} from './store.mjs';

const root = fileURLToPath(new URL('../..', import.meta.url));
const ports = {front: 8144, ready: 8140, control: 8146};
export const host = 'ficu95.example';

/** Whether the case has its disruption: not with `TROUBLE=0`. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** The program's command in the deploy file. */
function readCommand() {
	const text = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
	return /^run = "(?<command>[^"]+)"/mv.exec(text).groups.command.split(' ');
}

function formatSettings({name, ip, zone, zones, storeAddress}) {
	return `node_name = "${name}"
role = "entry"
machine_class = "front"
serves = ["front", "control"]
ip = "${ip}"
zone = "${zone}"
region = "r1"
port_range = [7660, 7675]
seeds = []
bootstrap = true
fault_counted = false
discovery = "platform"
entry = "virtual_ip"
heartbeat_ms = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "split", "stream", "engine", "platform"]
[zones]
${zones.map(each => `${each} = "r1"`).join('\n')}
[listen]
front = "${ip}:${ports.front}"
ready = "${ip}:${ports.ready}"
control = "${ip}:${ports.control}"
[limits]
cpu_share = 0.675
cores = 1
memory_mb = 350
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
addr_reuse_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
outer_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 52
recovery_s = 12
transit_ms = 120
again_s = 3
fencing_enforced = false
lease_ms = 3000
thaw_ms = 300
[platform]
address = "${storeAddress}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`;
}

/** A process of the system on a VM of its own, a loopback address. */
class Vm {
	exits = [];
	log = [];
	#child;
	#settingsPath;

	constructor(world, index) {
		this.world = world;
		this.name = `front-${index + 1}`;
		this.ip = `127.${64 + (process.pid % 128)}.${Math.floor(process.pid / 128) % 256}.${index + 1}`;
		this.zone = world.zones[index % world.zones.length];
		this.front = {host: this.ip, port: ports.front};
		this.#settingsPath = path.join(world.folder, `${this.name}.toml`);
	}

	start() {
		writeFileSync(this.#settingsPath, formatSettings({...this, zones: this.world.zones, storeAddress: this.world.store.address}));
		const [, ...programArguments] = readCommand();
		const child = spawn(process.execPath, programArguments, {
			cwd: root, env: {PATH: process.env.PATH, ROARR_LOG: 'true', CROCUSWORKS_BOOT: this.#settingsPath}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		this.#child = child;
		const onOutput = data => {
			this.log.push(String(data));
		};

		child.stdout.on('data', onOutput);
		child.stderr.on('data', onOutput);
		child.once('exit', (code, signal) => {
			this.exits.push({at: performance.now(), code, signal});
			this.world.record(`${this.name}: process ended, code ${code}, signal ${signal}`);
		});
	}

	get pid() {
		return this.#child.pid;
	}

	get isRunning() {
		return this.#child !== undefined && this.#child.exitCode === null && this.#child.signalCode === null;
	}

	kill(signal) {
		this.world.record(`${this.name}: ${signal}`);
		this.#child.kill(signal);
	}

	async waitUntilReady() {
		for (let attempt = 0; attempt < 400; attempt++) {
			const status = await new Promise(resolve => {
				http.get({
					host: this.ip, port: ports.ready, path: '/readyz', agent: false,
				}, response => {
					response.resume();
					resolve(response.statusCode);
				}).on('error', () => {
					resolve(0);
				});
			});
			if (status === 200) {
				return;
			}

			await sleep(50);
		}

		throw new Error(`${this.name} is not ready; its output: ${this.log.join('').slice(-2000)}`);
	}

	end() {
		if (this.isRunning) {
			this.#child.kill('SIGKILL');
		}
	}
}

/** Everything that a case starts. */
export class World {
	store = new Store();
	engines = [];
	zones = ['z1', 'z2', 'z3'];
	folder = mkdtempSync(path.join(tmpdir(), 'crocus-review-'));
	#startedAt = performance.now();
	#recordPath;

	constructor(caseUrl, vmCount) {
		this.#recordPath = fileURLToPath(new URL('record.txt', caseUrl));
		writeFileSync(this.#recordPath, '');
		this.vms = Array.from({length: vmCount}, (_, index) => new Vm(this, index));
	}

	record(text) {
		appendFileSync(this.#recordPath, `${((performance.now() - this.#startedAt) / 1000).toFixed(3)} ${text.replaceAll(root, '')}\n`);
	}

	async addEngine(engine, port) {
		await engine.start(port);
		this.engines.push(engine);
		this.store.write(`servers/${engine.id}`, engine.entry);
		return engine;
	}

	async start(configuration) {
		this.store.write('op/config', configuration);
		for (const vm of this.vms) {
			vm.start();
		}

		await Promise.all(this.vms.map(async vm => vm.waitUntilReady()));
		// Until each process knows all others.
		await sleep(2500);
		this.record('all processes are ready');
	}

	async end() {
		for (const vm of this.vms) {
			vm.end();
		}

		for (let attempt = 0; attempt < 100 && this.vms.some(vm => vm.isRunning); attempt++) {
			await sleep(20);
		}

		for (const engine of this.engines) {
			engine.stop();
		}

		this.store.stop();
		rmSync(this.folder, {recursive: true, force: true});
	}
}

/** The operator's configuration: a safe and an unsafe route of an application service, and two streams of a model service. */
export function createConfiguration(version = 1) {
	const route = {
		host, timeout_ms: 4000, target_latency_ms: 386, priority: 1, attempts: 2,
	};
	return {
		version,
		routes: [
			{
				...route, name: 'lookup', path_prefix: '/lookup/', kind: 'safe', service: 'app',
			},
			{
				...route, name: 'refund', path_prefix: '/refund/', kind: 'unsafe', service: 'app', attempts: 1,
			},
			{
				...route, name: 'check', path_prefix: '/check/', kind: 'stream', service: 'llm', can_resume: true, sticky: true, timeout_ms: 2000, target_latency_ms: 120, target_gap_ms: 150,
			},
			{
				...route, name: 'draft', path_prefix: '/draft/', kind: 'stream', service: 'llm', can_resume: true, sticky: true,
				timeout_ms: 15_000, target_latency_ms: 200, target_gap_ms: 150, attempts: 1,
			},
		],
		services: [
			{name: 'app', health_path: '/healthz', max_conns: 96},
			{
				name: 'llm', health_path: '/healthz', max_conns: 120, engine: {
					slots: 6, kv_capacity: 1_400_000, kv_token_bytes: 35_136, link_mbps: 8_800_000,
				},
			},
		],
		limits: {
			max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
		},
	};
}

/** Runs a case: `run(world)` returns what was broken, or `undefined`. The exit code says which. */
export async function runCase(caseUrl, vmCount, run) {
	const world = new World(caseUrl, vmCount);
	const limit = setTimeout(() => {
		world.record('could not run: over 110 s');
		for (const vm of world.vms) {
			vm.end();
		}

		process.exit(2); // eslint-disable-line unicorn/no-process-exit
	}, 110_000);
	process.exitCode = 2;
	try {
		await world.store.start();
		const broken = await run(world);
		world.record(broken === undefined ? 'RESULT: the rule held' : `RESULT: rule broken: ${broken}`);
		process.exitCode = broken === undefined ? 0 : 1;
	} catch (error) {
		world.record(`could not run: ${error.stack}`);
		process.exitCode = 2;
	} finally {
		clearTimeout(limit);
		await world.end();
	}
}

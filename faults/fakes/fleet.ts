import {ConfigurationTracker} from '../../src/configuration/index.js';
import {computeTextHash} from '../../src/deployment/index.js';
import {FactTable, GossipHub} from '../../src/feed/index.js';
import type {HubOptions} from '../../src/feed/index.js';
import {History} from '../../src/history/index.js';
import {Membership} from '../../src/membership/index.js';
import {Metrics} from '../../src/metrics/index.js';
import type {VmRecord} from '../../src/store/index.js';
import type {TimerService} from '../../src/timers/index.js';
import {FakeNetwork} from './network.js';
import type {FakeWires} from './network.js';
import {ProcessTimers} from './processtimers.js';
import {FakeStore, FakeVmList} from './store.js';
import type {FakePlatform} from './store.js';

/** What a fake entry is put on. */
export type FakeEntryOptions = {
	readonly vm: string;
	readonly domain: string;
	readonly platform: FakePlatform;
	readonly wires: FakeWires;
	readonly timers: TimerService;
	readonly seeds?: readonly string[];
	/** Mechanisms taken out. */
	readonly without?: ReadonlySet<string>;
};

/** The feed and membership of one entry, over fake wires and a fake platform. */
export class FakeEntry {
	readonly vm: string;
	readonly address: string;
	readonly facts: FactTable;
	readonly keeper: ConfigurationTracker;
	readonly timers: ProcessTimers;
	readonly history: History;
	readonly metrics = new Metrics();
	readonly store: FakeStore;
	readonly vms: FakeVmList;
	readonly membership: Membership;
	readonly hub: GossipHub;
	readonly network: FakeNetwork;
	/** Requests that this entry says it has running, by upstream. */
	readonly running = new Map<string, number>();
	readonly #wires: FakeWires;

	constructor(options: FakeEntryOptions) {
		this.vm = options.vm;
		this.facts = new FactTable(!options.without?.has('highest version holds'));
		this.#wires = options.wires;
		this.address = getAddress(options.vm);
		this.timers = new ProcessTimers(options.timers);
		this.history = new History(this.timers);
		this.store = new FakeStore(options.platform);
		this.vms = new FakeVmList(options.platform);
		this.network = new FakeNetwork(options.wires, this.address);
		this.keeper = new ConfigurationTracker({
			vm: options.vm,
			store: this.store,
			facts: this.facts,
			timers: this.timers,
			history: this.history,
			metrics: this.metrics,
			getRandom: () => 0.5,
			listLiveVms: () => this.membership.listLive(options.domain).map(member => member.vm),
			countMembers: () => this.membership.listMembers(options.domain).length,
			without: options.without as ReadonlySet<'highest version holds'>,
		});
		this.membership = new Membership({
			vm: options.vm,
			domain: options.domain,
			http: `http-${options.vm}`,
			peer: this.address,
			facts: this.facts,
			timers: this.timers,
			history: this.history,
			vms: this.vms,
			router: {
				isAvailable: upstream => this.facts.get('upstream', upstream)?.value.state === 'serving',
				countInFlight: upstream => this.running.get(upstream) ?? 0,
			},
			getConfiguration: () => this.keeper.getVersion(),
			isUsed: () => true,
		});
		this.hub = new GossipHub({
			vm: options.vm,
			domain: options.domain,
			peer: this.address,
			seeds: options.seeds ?? [],
			facts: this.facts,
			network: this.network,
			timers: this.timers,
			metrics: this.metrics,
			listNeighbors: () => this.membership.listNeighbors(),
			isHashValid: (text, hash) => computeTextHash(text) === hash,
			disabledMechanisms: options.without as HubOptions['disabledMechanisms'],
		});
	}

	/** Starts membership and feed. */
	async start(): Promise<void> {
		this.membership.start();
		await this.hub.start();
	}

	/** Ends the process at once. */
	abort(): void {
		this.timers.abort();
		this.network.abort();
	}

	/** Stops the process where it stands. */
	stop(): void {
		this.timers.stop();
		this.#wires.frozen.add(this.address);
	}

	/** Lets it go on. */
	resume(): void {
		this.#wires.resume(this.address);
		this.timers.resume();
	}
}

/** Address of a VM's side for other entries. */
export function getAddress(vm: string): string {
	return `peer-${vm}`;
}

/** Makes the platform's records of `count` VMs over failure domains, in turn. */
export function createRecords(count: number, domains: readonly string[]): VmRecord[] {
	return Array.from({length: count}, (_, index) => {
		const vm = `vm-${index + 1}`;
		return {
			vm, domain: domains[index % domains.length]!, http: `http-${vm}`, peer: getAddress(vm), state: 'live' as const,
		};
	});
}

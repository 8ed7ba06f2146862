import process from 'node:process';
import {createRecords, FakeEntry, getAddress} from '../../faults/fakes/fleet.js';
import {FakeWires} from '../../faults/fakes/network.js';
import {FakePlatform} from '../../faults/fakes/store.js';
import {computeTextHash} from '../../src/deployment/index.js';
import {upstreamState} from '../../src/feed/index.js';
import {choosePoller} from '../../src/membership/index.js';
import {RandomSource} from '../../src/rates/index.js';
import {ManualTimers} from '../../src/timers/index.js';

/** Size of a fleet of entries whose gossip is measured in one process. */
export type GossipFleetSizes = {
	readonly entries: number;
	readonly domains: number;
	/** Engines per failure domain; the load report of each is broadcast once per second. */
	readonly engines: number;
};

/** Bytes per second at an entry: the mean, 95th percentile and maximum over all entries. */
export type ByteRates = {readonly mean: number; readonly p95: number; readonly max: number};

const settleMs = 15_000;
const warmUpMs = 3000;
const pollIntervalMs = 50;
const maxPropagationMs = 20_000;
const seed = 7;

/** Entries with real gossip and membership over a fake network and manual timers. */
export class GossipFleet {
	readonly entries: readonly FakeEntry[];
	readonly #timers = new ManualTimers();
	readonly #network = new FakeWires(this.#timers);
	readonly #random = new RandomSource(seed);
	readonly #sizes: GossipFleetSizes;

	constructor(sizes: GossipFleetSizes) {
		this.#sizes = sizes;
		const platform = new FakePlatform(this.#timers);
		platform.vms = createRecords(sizes.entries, Array.from({length: sizes.domains}, (_, index) => `domain-${index + 1}`));
		this.entries = platform.vms.map(record => new FakeEntry({
			vm: record.vm, domain: record.domain, platform, wires: this.#network, timers: this.#timers,
		}));
	}

	/** Starts all entries and waits until links and membership have settled. */
	async start(): Promise<void> {
		for (const entry of this.entries) {
			await entry.start();
			this.#startLoadReports(entry);
		}

		await this.#timers.advance(settleMs);
	}

	/**
Measures the bytes per second sent and received by each entry over `seconds`.
`cpuMs` is the processor time of the whole process, in milliseconds per entry and second.
*/
	async measureTraffic(seconds: number): Promise<{readonly sent: ByteRates; readonly received: ByteRates; readonly cpuMs: number}> {
		const network = this.#network;
		network.isCounted = true;
		await this.#timers.advance(warmUpMs);
		network.sentBytes.clear();
		network.receivedBytes.clear();
		const cpuAtStart = process.cpuUsage();
		await this.#timers.advance(seconds * 1000);
		const usedCpu = process.cpuUsage(cpuAtStart);
		network.isCounted = false;
		return {
			sent: this.#computeRates(network.sentBytes, seconds),
			received: this.#computeRates(network.receivedBytes, seconds),
			cpuMs: (usedCpu.user + usedCpu.system) / 1000 / seconds / this.entries.length,
		};
	}

	/** Measures the time until all entries know a changed state of an upstream, in milliseconds; 20,000 or more if they do not by then. */
	async measureUpstreamPropagation(): Promise<number> {
		this.entries[0]!.facts.merge({
			kind: 'upstream', key: 'probe', version: 1, value: {state: upstreamState.closing},
		});
		return this.#waitForPropagation(entry => entry.facts.get('upstream', 'probe')?.version === 1);
	}

	/** Measures the time until all entries know a new configuration of `bytes` bytes, in milliseconds; 20,000 or more if they do not by then. */
	async measureConfigurationPropagation(bytes: number): Promise<number> {
		const text = 'x'.repeat(bytes);
		this.entries[0]!.facts.merge({
			kind: 'configuration', key: '', version: 1, value: {text, hash: computeTextHash(text)},
		});
		return this.#waitForPropagation(entry => entry.facts.get('configuration', '')?.version === 1);
	}

	#startLoadReports(entry: FakeEntry): void {
		const {domain} = entry.membership.localMember.createFact();
		let sequence = 0;
		entry.timers.startInterval(1000, () => {
			const members = entry.membership.listLive(domain).map(member => member.vm);
			sequence++;
			for (let engine = 0; engine < this.#sizes.engines; engine++) {
				const key = `${domain}-engine-${engine}`;
				if (choosePoller(key, members) === entry.vm) {
					this.#publishLoad(entry, key, sequence);
				}
			}
		});
	}

	#publishLoad(entry: FakeEntry, key: string, sequence: number): void {
		const pick = (bound: number) => this.#random.pickIndex(bound);
		entry.facts.merge({
			kind: 'load',
			key,
			version: Math.floor(this.#timers.getWallTime()),
			value: {
				sequence,
				incarnation: 1_700_000_000_000,
				role: 'mixed',
				running: pick(40),
				waiting: pick(20),
				prefillTokens: pick(60_000),
				decodeTokens: pick(30_000),
				piecesUsed: pick(900),
				pieces: 1000,
			},
		});
	}

	#computeRates(bytes: ReadonlyMap<string, number>, seconds: number): ByteRates {
		const rates = this.entries.map(entry => (bytes.get(getAddress(entry.vm)) ?? 0) / seconds).toSorted((left, right) => left - right);
		return {
			mean: rates.reduce((sum, rate) => sum + rate, 0) / rates.length,
			p95: rates[Math.floor(rates.length * 0.95)]!,
			max: rates.at(-1)!,
		};
	}

	async #waitForPropagation(isKnown: (entry: FakeEntry) => boolean): Promise<number> {
		const startedAt = this.#timers.getNow();
		while (!this.entries.every(entry => isKnown(entry)) && this.#timers.getNow() - startedAt < maxPropagationMs) {
			await this.#timers.advance(pollIntervalMs);
		}

		return this.#timers.getNow() - startedAt;
	}
}

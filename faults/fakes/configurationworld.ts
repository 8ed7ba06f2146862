import {applyConfiguration} from '../../src/configuration/index.js';
import type {AppliedConfiguration, ApplyRequest} from '../../src/configuration/index.js';
import {runProcedure} from '../../src/procedures/index.js';
import type {StepHooks} from '../../src/procedures/index.js';
import {ManualTimers} from '../../src/timers/index.js';
import {createRecords, FakeEntry} from './fleet.js';
import {FakeWires} from './network.js';
import {FakePlatform} from './store.js';

const samplePeriodMs = 50;
const settleMs = 12_000;
const entryCount = 6;

type Operation = ApplyRequest & {readonly isTold: boolean; readonly outcome: string};

/** Six entries in two failure domains with a configuration in force, and the journals by which cells are judged. */
export class ConfigurationWorld {
	readonly timers = new ManualTimers();
	readonly platform = new FakePlatform(this.timers);
	readonly wires = new FakeWires(this.timers);
	readonly entries = new Map<string, FakeEntry>();
	/** Versions that each VM had in force, one after another, over its restarts. */
	readonly versions = new Map<string, number[]>();
	/** What operators were told. */
	readonly told: Operation[] = [];
	readonly without: ReadonlySet<string>;
	/** The VM that a fault has met, where the messages decide it. */
	faulted = 'vm-1';
	readonly #false: string[] = [];

	constructor(without: string | undefined) {
		this.without = new Set(without === undefined ? [] : [without]);
		this.platform.vms = createRecords(entryCount, ['a', 'b']);
	}

	/** Starts the entries and puts the first configuration into force. */
	async start(): Promise<void> {
		for (const {vm} of this.platform.vms) {
			await this.startEntry(vm);
		}

		this.timers.startInterval(samplePeriodMs, () => {
			this.recordVersions();
		});
		await this.timers.advance(settleMs);
		void this.apply('vm-1', createRequest('first', 0));
		await this.timers.advance(settleMs);
	}

	/** Starts a VM's process, with an empty memory. */
	async startEntry(vm: string): Promise<FakeEntry> {
		const record = this.platform.vms.find(known => known.vm === vm)!;
		const entry = new FakeEntry({
			vm, domain: record.domain, platform: this.platform, wires: this.wires, timers: this.timers, without: this.without,
		});
		this.entries.set(vm, entry);
		await entry.start();
		entry.keeper.start();
		return entry;
	}

	/** Reads one entry. */
	getEntry(vm: string): FakeEntry {
		return this.entries.get(vm)!;
	}

	/** Applies through an entry, as an operator does, and notes what the operator was told. */
	async apply(vm: string, request: ApplyRequest, hooks: StepHooks = {}): Promise<void> {
		const entry = this.getEntry(vm);
		try {
			await runProcedure(applyConfiguration(request, {
				store: entry.store,
				getVersion: () => entry.keeper.getVersion(),
				publish(applied: AppliedConfiguration) {
					entry.keeper.publish(applied);
				},
				without: this.without as ReadonlySet<never>,
			}), hooks);
			this.told.push({...request, isTold: true, outcome: 'accepted'});
		} catch (error) {
			this.told.push({...request, isTold: true, outcome: error instanceof Error ? error.name : String(error)});
		}
	}

	/** Notes the version in force at every entry. */
	recordVersions(): void {
		for (const [vm, entry] of this.entries) {
			const versions = this.versions.get(vm) ?? [];
			this.versions.set(vm, versions);
			const version = entry.keeper.getVersion();
			if (version > 0 && versions.at(-1) !== version) {
				versions.push(version);
			}
		}
	}

	/** Lists the configurations that the store took, in order. */
	listAccepted(): Array<{readonly version: number; readonly operation: string}> {
		return this.platform.journal.filter(write => write.key === 'configuration')
			.map(write => JSON.parse(write.value) as {version: number; operation: string});
	}

	/** Waits until a frozen process goes on; one that was killed never does. */
	async waitWhileStopped(vm: string): Promise<void> {
		const {timers} = this.getEntry(vm);
		// A frozen process gets no timer before it wakes, and a killed one none at all.
		await timers.sleep(0);
	}

	/** Checks that an entry with an older version in force than the highest says that it can't know. */
	checkCertainty(vm: string): void {
		const {version, certainty} = this.getEntry(vm).keeper.getStatus();
		const highest = this.listAccepted().at(-1)?.version ?? 0;
		if (version > 0 && version < highest && certainty !== 'unknown') {
			throw new RangeError(`${vm} has version ${version} of ${highest} in force and says that it knows by ${certainty}`);
		}
	}

	/** Notes every acknowledgement that `observer` sees and that the entry's own running count does not bear out. */
	watchAcknowledgements(observer: string, upstream: string): void {
		const entry = this.getEntry(observer);
		entry.facts.subscribe(fact => {
			if (fact.kind !== 'member') {
				return;
			}

			const closed = (fact.value as {closed: Record<string, {running: number}>}).closed[upstream];
			const running = this.getEntry(fact.key).running.get(upstream) ?? 0;
			if (closed?.running === 0 && running > 0) {
				this.#false.push(fact.key);
			}
		});
	}

	/** Checks that every entry has acknowledged the version with no request running, and none did so too early. */
	checkAcknowledged(observer: string, upstream: string, version: number): void {
		if (this.#false.length > 0) {
			throw new RangeError(`${this.#false[0]} acknowledged with requests running`);
		}

		// A barrier never crosses failure domains, so it waits for the observer's own.
		const {membership} = this.getEntry(observer);
		const missing = membership.listMembers(membership.localMember.createFact().domain).filter(({fact}) => fact?.closed[upstream]?.version !== version || fact.closed[upstream]?.running !== 0);
		if (missing.length > 0) {
			throw new RangeError(`no acknowledgement of ${missing.map(({vm}) => vm).join(', ')}`);
		}
	}
}

/** Makes an operator's request; the name makes the text its own. */
export function createRequest(name: string, base: number): ApplyRequest {
	return {text: `[deployment]\nname = "${name}"\ndomains = ["a", "b"]\n[services]\n`, base, operation: `op-${name}`};
}

import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {linkState} from '../rigs/link.js';
import {engineFault, storeMode} from '../standins/fleet/index.js';
import type {EngineFault} from '../standins/fleet/index.js';
import type {RandomSource} from '../src/rates/index.js';
import type {Link, LinkState} from '../rigs/link.js';
import {oddEntryPrefix} from './world.js';
import type {EngineHost, SoakWorld} from './world.js';
import type {SoakVm} from './vm.js';

/** A fault that is injected from outside the entries, for a while or at once. */
export abstract class SoakFault {
	/** Takes the fault's name in reports and its duration, in milliseconds; 0 if it has no duration. */
	constructor(readonly name: string, readonly durationMs: number) {}

	/** Whether a VM may be unable to reach the store during the fault. */
	isCuttingStore(_vm: SoakVm): boolean {
		return false;
	}

	/** Whether a VM may be unable to reach an engine during the fault. */
	isCuttingEngine(_vm: SoakVm, _engineName: string): boolean {
		return false;
	}

	/** Whether the fault may end a VM's connections to an engine, or lose bytes on them; a delay does neither. */
	isBreakingEngine(_vm: SoakVm, _engineName: string): boolean {
		return false;
	}

	/** Whether the fault may change what a VM learns from other VMs. */
	isCuttingVms(_vm: SoakVm): boolean {
		return false;
	}

	/** Injects the fault. */
	abstract start(world: SoakWorld): Promise<void> | void;

	/** Ends the fault; called once, after its duration. */
	abstract close(world: SoakWorld): Promise<void> | void;
}

/** An entry's process is ended by a signal, and started again when the fault ends. */
class StoppedProcess extends SoakFault {
	readonly #vm: SoakVm;
	readonly #isKilled: boolean;

	constructor(vm: SoakVm, isKilled: boolean, durationMs: number) {
		super(`${isKilled ? 'SIGKILL' : 'SIGTERM'} ${vm.name}`, durationMs);
		this.#vm = vm;
		this.#isKilled = isKilled;
	}

	start(): void {
		if (this.#isKilled) {
			this.#vm.abort();
		} else {
			this.#vm.stop();
		}
	}

	close(): void {
		// A process that is still stopping is started again once it has exited.
		const timer = setInterval(() => {
			if (!this.#vm.isRunning) {
				clearInterval(timer);
				this.#vm.start();
			}
		}, 20);
	}
}

/** An entry's process is paused. */
class PausedProcess extends SoakFault {
	constructor(readonly vm: SoakVm, durationMs: number) {
		super(`SIGSTOP ${vm.name}`, durationMs);
	}

	override isCuttingStore(vm: SoakVm): boolean {
		return vm === this.vm;
	}

	start(): void {
		this.vm.setPaused(true);
	}

	close(): void {
		this.vm.setPaused(false);
	}
}

/** An entry reloads its settings. */
class ReloadedSettings extends SoakFault {
	constructor(readonly vm: SoakVm) {
		super(`SIGHUP ${vm.name}`, 0);
	}

	start(): void {
		this.vm.reload();
	}

	close(): void {
		// A reload has no duration.
	}
}

/** Delay of a slow link in each direction, in milliseconds; longer than any network delay between domains. */
const slowLinkDelayMs = 120;
/** How a link misbehaves: a state of the link, or one of the further kinds here. */
const linkFaultKind = {
	...linkState, slow: 'slow', reset: 'reset', forgotten: 'open connections silent',
} as const;
type LinkFaultKind = Exclude<(typeof linkFaultKind)[keyof typeof linkFaultKind], 'open'>;

/** A link between two VMs, or from a VM to an engine or the store, misbehaves. */
class LinkFault extends SoakFault {
	readonly #from: string;
	readonly #to: string;
	readonly #kind: LinkFaultKind;

	constructor(from: string, to: string, kind: LinkFaultKind, durationMs: number) {
		super(`${from}>${to} ${kind}`, durationMs);
		this.#from = from;
		this.#to = to;
		this.#kind = kind;
	}

	override isCuttingStore(vm: SoakVm): boolean {
		return this.#from === vm.name && this.#to === 'store';
	}

	override isCuttingEngine(vm: SoakVm, engineName: string): boolean {
		return this.#from === vm.name && this.#to === engineName;
	}

	override isBreakingEngine(vm: SoakVm, engineName: string): boolean {
		return this.#kind !== linkFaultKind.slow && this.isCuttingEngine(vm, engineName);
	}

	override isCuttingVms(vm: SoakVm): boolean {
		return this.#from === vm.name || this.#to === vm.name;
	}

	start(world: SoakWorld): void {
		const link = this.#findLink(world);
		const {slow, reset, forgotten} = linkFaultKind;
		const starts: Readonly<Record<string, () => void>> = {
			[slow]() {
				link.delayMs = slowLinkDelayMs;
			},
			[reset]() {
				link.resetConnections();
			},
			[forgotten]() {
				link.forgetConnections();
			},
		};
		const start = starts[this.#kind];
		if (start) {
			start();
		} else {
			link.state = this.#kind as LinkState;
		}
	}

	close(world: SoakWorld): void {
		const link = this.#findLink(world);
		link.state = linkState.open;
		link.delayMs = 0;
	}

	#findLink(world: SoakWorld): Link {
		return world.getLink(this.#from, this.#to);
	}
}

/** The store refuses or ignores requests, resets connections, drops its history of changes, or loses some of its answers. */
class StoreFault extends SoakFault {
	readonly #kind: string;

	constructor(kind: string, durationMs: number) {
		super(`store ${kind}`, durationMs);
		this.#kind = kind;
	}

	override isCuttingStore(): boolean {
		return true;
	}

	start({store}: SoakWorld): void {
		if (this.#kind === 'forgets') {
			store.forgetHistory();
		} else if (this.#kind === 'loses answers') {
			store.lostAnswers = 3;
		} else {
			store.mode = this.#kind as typeof store.mode;
		}
	}

	close({store}: SoakWorld): void {
		store.mode = storeMode.up;
		store.lostAnswers = 0;
	}
}

/** Bounds of the age of the copy that a store comes back from, in milliseconds. */
const minCopyAgeMs = 200;
const maxCopyAgeMs = 6000;
/** Longest time in which the operator and the engines write again what the copy lacks, in milliseconds. */
const maxRewriteMs = 1500;

/** The store is away and comes back from an older copy, once or twice; the operator and the engines then write again what the copy lacks. */
class ReplacedStore extends SoakFault {
	readonly #copyAgeMs: number;
	readonly #rewriteMs: number;
	readonly #isTwice: boolean;

	constructor(random: RandomSource, durationMs: number) {
		super('store comes back from a copy', durationMs);
		this.#copyAgeMs = random.pickBetween(minCopyAgeMs, maxCopyAgeMs);
		this.#rewriteMs = random.pickBetween(0, maxRewriteMs);
		this.#isTwice = random.getRandom() < 0.3;
	}

	override isCuttingStore(): boolean {
		return true;
	}

	start({store}: SoakWorld): void {
		store.mode = storeMode.resetting;
	}

	async close(world: SoakWorld): Promise<void> {
		world.restoreStore(this.#copyAgeMs);
		world.store.mode = storeMode.up;
		await sleep(this.#rewriteMs);
		if (this.#isTwice) {
			world.restoreStore(this.#copyAgeMs);
			await sleep(this.#rewriteMs);
		}

		world.rewriteStore();
	}
}

/** An engine crashes, and is started again under a new id when the fault ends. */
class CrashedEngine extends SoakFault {
	readonly #engineHost: EngineHost;

	constructor(engineHost: EngineHost, durationMs: number) {
		super(`${engineHost.name} crashes`, durationMs);
		this.#engineHost = engineHost;
	}

	async start(world: SoakWorld): Promise<void> {
		await world.stopEngine(this.#engineHost);
	}

	async close(world: SoakWorld): Promise<void> {
		await world.startEngine(this.#engineHost);
	}
}

/** An engine leaves and says so in its answers alone: its registration stays. It ends, and its next incarnation starts, when the fault ends. */
class LeavingEngine extends SoakFault {
	readonly #engineHost: EngineHost;

	constructor(engineHost: EngineHost, durationMs: number) {
		super(`${engineHost.name} leaves`, durationMs);
		this.#engineHost = engineHost;
	}

	start(): void {
		this.#engineHost.engine.isLeaving = true;
	}

	async close(world: SoakWorld): Promise<void> {
		await world.stopEngine(this.#engineHost);
		await world.startEngine(this.#engineHost);
	}
}

/** An engine leaves by its registration alone, which it removes, at once or after it said that it drains; it goes on serving. It ends, and its next incarnation starts, when the fault ends. */
class DepartingEngine extends SoakFault {
	readonly #engineHost: EngineHost;
	readonly #delayMs: number;
	readonly #drainMs: number;

	/** `drainMs` is the time for which the registration says that it drains, in milliseconds; 0 for an engine that never says so. */
	constructor(engineHost: EngineHost, {delayMs, drainMs, servingMs}: {readonly delayMs: number; readonly drainMs: number; readonly servingMs: number}) {
		super(`${engineHost.name} departs after ${Math.round(delayMs)} ms, draining for ${Math.round(drainMs)} ms`, delayMs + drainMs + servingMs);
		this.#engineHost = engineHost;
		this.#delayMs = delayMs;
		this.#drainMs = drainMs;
	}

	async start(world: SoakWorld): Promise<void> {
		const {engine} = this.#engineHost;
		setTimeout(() => {
			this.#remove(world, engine, this.#drainMs > 0);
		}, this.#delayMs);
		setTimeout(() => {
			this.#remove(world, engine, false);
		}, this.#delayMs + this.#drainMs);
	}

	async close(world: SoakWorld): Promise<void> {
		if (world.departures.some(({engine}) => engine === this.#engineHost.engine)) {
			await world.stopEngine(this.#engineHost);
			await world.startEngine(this.#engineHost);
		}
	}

	/** Does nothing when another incarnation has started meanwhile. */
	#remove(world: SoakWorld, engine: EngineHost['engine'], isAnnounced: boolean): void {
		if (this.#engineHost.engine === engine && this.#engineHost.isUp) {
			world.removeRegistration(this.#engineHost, isAnnounced);
		}
	}
}

/** An engine names a limit for the requests of all VMs together, and another one halfway through. */
class LimitedEngine extends SoakFault {
	readonly #engineHost: EngineHost;
	readonly #limits: readonly [number, number];

	constructor(engineHost: EngineHost, limits: readonly [number, number], durationMs: number) {
		super(`${engineHost.name} names limits of ${limits.map(limit => limit.toFixed(1)).join(' and ')} requests a second`, durationMs);
		this.#engineHost = engineHost;
		this.#limits = limits;
	}

	start(): void {
		[this.#engineHost.engine.requestLimit] = this.#limits;
		setTimeout(() => {
			[, this.#engineHost.engine.requestLimit] = this.#limits;
		}, this.durationMs / 2);
	}

	close(): void {
		this.#engineHost.engine.requestLimit = Number.POSITIVE_INFINITY;
	}
}

/** Bounds of the time between two silences of an engine, in milliseconds. */
const minSoundMs = 200;
const maxSoundMs = 1000;

/** What an operator does while engines are silent. */
type OperatorAct = {readonly name: string; readonly start: (world: SoakWorld) => void};

/** How long engines are silent, the time from the start of one silence to that of the next, both in milliseconds, and the number of silences. */
type SilenceTimes = {readonly silenceMs: number; readonly intervalMs: number; readonly count: number};

/** Sound engines fall silent at once, once or several times in a row, and go on each time; an operator may act in the middle of each silence. */
class SilentEngines extends SoakFault {
	readonly #engineHosts: readonly EngineHost[];
	readonly #silenceMs: number;
	readonly #intervalMs: number;
	readonly #acts: readonly OperatorAct[];

	constructor(engineHosts: readonly EngineHost[], acts: readonly OperatorAct[], {silenceMs, intervalMs, count}: SilenceTimes) {
		const silences = `${engineHosts.map(({name}) => name).join(', ')} silent ${count === 1 ? 'once' : `${count} times`} for ${Math.round(silenceMs)} ms`;
		super([silences, ...acts.map(({name}) => name)].join(', '), ((count - 1) * intervalMs) + silenceMs);
		this.#engineHosts = engineHosts;
		this.#silenceMs = silenceMs;
		this.#intervalMs = intervalMs;
		this.#acts = acts;
	}

	start(world: SoakWorld): void {
		for (let delayMs = 0; delayMs < this.durationMs; delayMs += this.#intervalMs) {
			setTimeout(() => {
				// Silences of several faults must not join into a longer one.
				const now = performance.now();
				for (const {engine} of this.#engineHosts.filter(({engine}) => now > (engine.silences.at(-1)?.to ?? Number.NEGATIVE_INFINITY) + minSoundMs)) {
					engine.startSilence(this.#silenceMs);
				}
			}, delayMs);
			setTimeout(() => {
				for (const act of this.#acts) {
					act.start(world);
				}
			}, delayMs + (this.#silenceMs / 2));
		}
	}

	close(): void {
		// A silence ends by itself.
	}
}

/** The next answers of an engine are faulty, one for each of the given faults. */
class BadAnswers extends SoakFault {
	readonly #engineHost: EngineHost;
	readonly #faults: ReadonlyArray<keyof typeof engineFault>;

	constructor(engineHost: EngineHost, faults: ReadonlyArray<keyof typeof engineFault>) {
		super(`${engineHost.name} answers ${faults.join(', ')}`, 0);
		this.#engineHost = engineHost;
		this.#faults = faults;
	}

	start(): void {
		this.#engineHost.engine.faults.push(...this.#faults);
	}

	close(): void {
		// Faults that no request has met yet stay queued at the engine.
	}
}

/** An operator writes the next version of the configuration. */
class WrittenConfiguration extends SoakFault {
	constructor() {
		super('configuration', 0);
	}

	start(world: SoakWorld): void {
		world.writeConfiguration();
	}

	close(): void {
		// A written version stays in the store.
	}
}

/** Faults of answers that {@link pickEngineFault} picks. */
const framingFaults = [engineFault.unframed, engineFault.resetUnframed, engineFault.closeInEvent, engineFault.endInEvent] as const;
const endlessFaults = [engineFault.endlessHead, engineFault.endlessInformation, engineFault.endlessBody, engineFault.endlessTrailer] as const;
const engineWishes = new Set<EngineFault>([engineFault.leave, engineFault.retryAfter]);
/** Faults of answers that {@link pickFault} picks; they stay as they are, so that a seed keeps its faults. */
const garbledFaults = [engineFault.switchProtocols, engineFault.continueAndSwitch, engineFault.spoiledHandle, engineFault.refuseTwice, engineFault.refuseTwiceUnnamed] as const;
/** Faults of streams that a caller can't tell from the engine's own answer unless they come in its middle. */
const streamFaults = [
	engineFault.emptyStream, engineFault.failedStream, engineFault.errorPage, engineFault.unnumberedEvents, engineFault.strayLines, engineFault.repeatedEvents,
] as const;
/** Faults that {@link pickUntrueEnd} picks: answers whose status or end says what isn't so. */
const untrueEnds = [
	engineFault.busyAfterRun, engineFault.limitAfterRun, engineFault.timeoutAfterRun, engineFault.notRunZero, engineFault.closeAfterHead, engineFault.endBeforeEvents,
] as const;
const laterFaults = new Set<EngineFault>([
	...untrueEnds,
	engineFault.closeInEvent,
	engineFault.endInEvent,
	engineFault.trickle,
	engineFault.slowStream,
	...endlessFaults,
	...garbledFaults,
	...streamFaults,
]);
const answerFaults = Object.values(engineFault).filter(fault => !engineWishes.has(fault) && !laterFaults.has(fault));

/** Picks the next fault at random, with its target and duration. */
export function pickFault(world: SoakWorld, random: RandomSource): SoakFault {
	const pick = <Value>(values: readonly Value[]): Value => values[random.pickIndex(values.length)]!;
	const vm = pick(world.vms);
	const engineHost = pick(world.engineHosts);
	const durationMs = random.pickBetween(200, 3000);
	const target = pick(['store', engineHost.name, engineHost.name, pick(world.vms).name]);
	const {open, ...linkFaultKinds} = linkFaultKind;
	const faultFactories: ReadonlyArray<() => SoakFault> = [
		() => new StoppedProcess(vm, true, durationMs),
		() => new StoppedProcess(vm, false, durationMs),
		() => new PausedProcess(vm, durationMs),
		() => new ReloadedSettings(vm),
		() => new LinkFault(vm.name, target, pick(Object.values(linkFaultKinds)), durationMs),
		() => new LinkFault(vm.name, target, pick(Object.values(linkFaultKinds)), durationMs),
		() => new StoreFault(pick(['refusing', 'silent', 'resetting', 'forgets', 'loses answers']), durationMs),
		() => new CrashedEngine(engineHost, durationMs),
		() => new BadAnswers(engineHost, Array.from({length: 1 + random.pickIndex(4)}, () => pick(answerFaults))),
		() => new WrittenConfiguration(),
	];
	return pick(faultFactories)();
}

/** Share of the picked faults with which the store also comes back from an older copy. */
const replacedStoreShare = 0.12;

/** Picks whether the store also comes back from an older copy, with a source of its own: the faults that a seed picks stay the same. */
export function pickReplacedStore(random: RandomSource): SoakFault | undefined {
	return random.getRandom() < replacedStoreShare ? new ReplacedStore(random, random.pickBetween(200, 3000)) : undefined;
}

/** Share of the picked faults with which an engine also leaves, asks for a pause, or frames its answers otherwise. */
const engineFaultShare = 0.4;
/** Bounds of the time for which a leaving engine still answers, in milliseconds: longer than entries may go on sending to it. */
const minLeavingMs = 2500;
const maxLeavingMs = 5000;

/** Picks whether an engine also leaves by its answers, asks for a pause or frames answers otherwise, with a source of its own: the faults that a seed picks stay the same. */
export function pickEngineFault(world: SoakWorld, random: RandomSource): SoakFault | undefined {
	if (random.getRandom() >= engineFaultShare) {
		return undefined;
	}

	const engineHost = world.engineHosts[random.pickIndex(world.engineHosts.length)]!;
	const faultFactories: ReadonlyArray<() => SoakFault> = [
		() => new LeavingEngine(engineHost, random.pickBetween(minLeavingMs, maxLeavingMs)),
		() => new BadAnswers(engineHost, [engineFault.retryAfter, engineFault.retryAfter]),
		() => new BadAnswers(engineHost, [framingFaults[random.pickIndex(framingFaults.length)]!, framingFaults[random.pickIndex(framingFaults.length)]!]),
	];
	return faultFactories[random.pickIndex(faultFactories.length)]!();
}

/** Share of the picked faults with which an engine also sends bytes without end, or a stream that stalls or is slow. */
const endlessShare = 0.2;

/** Picks whether an engine also sends bytes without end, or a stream that stalls or is slow, with a source of its own. */
export function pickEndlessFault(world: SoakWorld, random: RandomSource): SoakFault | undefined {
	const faults = [...endlessFaults, engineFault.trickle, engineFault.slowStream];
	return random.getRandom() < endlessShare
		? new BadAnswers(world.engineHosts[random.pickIndex(world.engineHosts.length)]!, [faults[random.pickIndex(faults.length)]!])
		: undefined;
}

/** Share of the picked faults with which an engine also sends wrong bytes, or another writer leaves an entry among those of the engines. */
const garbledShare = 0.25;
/** Values of entries that name no engine to use. */
const oddValues = [
	`${'['.repeat(20_000)}${']'.repeat(20_000)}`,
	'{"service":"app","address":"127.0.0.1:99999","slots":6,"state":"ready","seq":1}',
	'{"service":"llm","address":"127.0.0.1:9","slots":1e300,"state":"ready"}',
	'{"service":"app","address":"127.0.0.1:9","slots":6,"state":"ready","born":9007199254740991}',
	'\u0000{',
] as const;

/** Another writer leaves an entry among those of the engines that names none. */
class OddEntry extends SoakFault {
	readonly #value: string;

	constructor(index: number) {
		super(`odd entry ${index}`, 0);
		this.#value = oddValues[index]!;
	}

	start(world: SoakWorld): void {
		world.store.write(`servers/${oddEntryPrefix}${this.#value.length}`, this.#value);
	}

	close(): void {
		// The entry stays.
	}
}

/** Picks whether an engine also sends wrong bytes, or an odd entry is written, with a source of its own. */
export function pickGarbled(world: SoakWorld, random: RandomSource): SoakFault | undefined {
	if (random.getRandom() >= garbledShare) {
		return undefined;
	}

	const engineHost = world.engineHosts[random.pickIndex(world.engineHosts.length)]!;
	const faults = Array.from({length: 1 + random.pickIndex(3)}, () => garbledFaults[random.pickIndex(garbledFaults.length)]!);
	return random.getRandom() < 0.3 ? new OddEntry(random.pickIndex(oddValues.length)) : new BadAnswers(engineHost, faults);
}

/** Share of the picked faults with which an engine also gives answers whose status or end says what isn't so. */
const untrueEndShare = 0.3;

/** Picks whether an engine also promises that requests have not run which it has run, or ends streams before their first event, with a source of its own. */
export function pickUntrueEnd(world: SoakWorld, random: RandomSource): SoakFault | undefined {
	if (random.getRandom() >= untrueEndShare) {
		return undefined;
	}

	const engineHost = world.engineHosts[random.pickIndex(world.engineHosts.length)]!;
	return new BadAnswers(engineHost, Array.from({length: 1 + random.pickIndex(3)}, () => untrueEnds[random.pickIndex(untrueEnds.length)]!));
}

/** Share of the picked faults with which an engine also names a limit, bounds of its duration, in milliseconds, and of the limits, in requests a second. */
const limitShare = 0.2;
const minLimitedMs = 3000;
const maxLimitedMs = 9000;
const minLimit = 0.3;
const maxLimit = 15;

/** Picks whether an engine also names a limit for the requests of all VMs, with a source of its own. */
export function pickLimit(world: SoakWorld, random: RandomSource): SoakFault | undefined {
	if (random.getRandom() >= limitShare) {
		return undefined;
	}

	const engineHost = world.engineHosts[random.pickIndex(world.engineHosts.length)]!;
	return new LimitedEngine(engineHost, [random.pickBetween(minLimit, maxLimit), random.pickBetween(minLimit, maxLimit)], random.pickBetween(minLimitedMs, maxLimitedMs));
}

/** Share of the picked faults with which engines also fall silent, bounds of a silence, in milliseconds, and the largest number of silences in a row. */
const silenceShare = 0.25;
const minSilenceMs = 500;
const maxSilenceMs = 1500;
const maxSilences = 4;

/** Picks whether sound engines also fall silent, one, several, or all of a service, with a source of its own. */
export function pickSilence(world: SoakWorld, random: RandomSource): SoakFault | undefined {
	if (random.getRandom() >= silenceShare) {
		return undefined;
	}

	const pick = <Value>(values: readonly Value[]): Value => values[random.pickIndex(values.length)]!;
	const first = pick(world.engineHosts);
	const vm = pick(world.vms);
	const engineHosts = pick([
		[first],
		world.engineHosts.filter(engineHost => engineHost === first || random.getRandom() < 0.5),
		world.engineHosts.filter(({options}) => options.service === first.options.service),
	]);
	const silenceMs = random.pickBetween(minSilenceMs, maxSilenceMs);
	const acts: OperatorAct[] = [
		{
			name: 'a configuration', start(world) {
				world.writeConfiguration();
			},
		},
		{
			name: `SIGHUP ${vm.name}`, start() {
				vm.reload();
			},
		},
	];
	return new SilentEngines(engineHosts, acts.filter(() => random.getRandom() < 0.5), {
		silenceMs, intervalMs: silenceMs + random.pickBetween(minSoundMs, maxSoundMs), count: random.getRandom() < 0.5 ? 1 : 1 + random.pickIndex(maxSilences),
	});
}

/** Share of the picked faults with which an engine also departs, and share of these in which its leaving is not announced. */
const departureShare = 0.1;
const unannouncedShare = 0.6;
/** Bounds of the time for which a VM, or the store, is lost around a departure, in milliseconds. */
const minLossMs = 1000;
const maxLossMs = 6000;
/** Time for which a departed engine goes on serving beyond the loss, in milliseconds: longer than a VM that has returned may send to it. */
const servingAfterLossMs = 4500;

/** Picks whether an engine also departs, mostly while a VM has lost the store, or the store is away; with a source of its own. */
export function pickDeparture(world: SoakWorld, random: RandomSource): readonly SoakFault[] {
	if (random.getRandom() >= departureShare) {
		return [];
	}

	const pick = <Value>(values: readonly Value[]): Value => values[random.pickIndex(values.length)]!;
	const vm = pick(world.vms);
	const lossMs = random.pickBetween(minLossMs, maxLossMs);
	const departure = new DepartingEngine(pick(world.engineHosts), {
		delayMs: random.pickBetween(100, lossMs),
		drainMs: random.getRandom() < unannouncedShare ? 0 : random.pickBetween(500, 3000),
		servingMs: lossMs + servingAfterLossMs,
	});
	const losses: ReadonlyArray<() => readonly SoakFault[]> = [
		() => [],
		() => [new LinkFault(vm.name, 'store', pick([linkState.cut, linkState.silent, linkState.silentFromTarget, linkFaultKind.slow]), lossMs)],
		() => [new LinkFault(vm.name, 'store', linkState.cut, lossMs), new StoreFault('forgets', lossMs / 2)],
		() => world.vms.slice(1).map(({name}) => new LinkFault(name, 'store', linkState.silent, lossMs)),
		() => [new StoreFault(pick(['refusing', 'silent', 'resetting']), lossMs)],
	];
	return [...pick(losses)(), departure];
}

import {linkState} from '../rigs/link.js';
import {engineFault, storeMode} from '../standins/fleet/index.js';
import type {RandomSource} from '../src/rates/index.js';
import type {Link, LinkState} from '../rigs/link.js';
import type {EngineHost, SoakWorld} from './world.js';
import type {SoakVm} from './vm.js';

/** One thing that goes wrong from outside, for a while. */
export abstract class SoakFault {
	/** Takes how long it lasts, in milliseconds; 0: it is over when it was started. */
	constructor(readonly name: string, readonly durationMs: number) {}

	/** Whether it keeps a VM from the store. */
	isCuttingStore(_vm: SoakVm): boolean {
		return false;
	}

	abstract start(world: SoakWorld): Promise<void> | void;

	/** Ends it; called once, also when the run ends before its time. */
	abstract close(world: SoakWorld): Promise<void> | void;
}

/** Ends an entry's process with a signal, and starts it again. */
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
		// One that is still stopping is started when it has gone.
		const timer = setInterval(() => {
			if (!this.#vm.isRunning) {
				clearInterval(timer);
				this.#vm.start();
			}
		}, 20);
	}
}

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

class ReloadedSettings extends SoakFault {
	constructor(readonly vm: SoakVm) {
		super(`SIGHUP ${vm.name}`, 0);
	}

	start(): void {
		this.vm.reload();
	}

	close(): void {
		// A reload is over when it was asked for.
	}
}

/** Delay of a slow link each way, in milliseconds: beyond any way between domains. */
const slowLinkDelayMs = 120;
/** What a link does to what passes it. */
const linkFaultKind = {
	...linkState, slow: 'slow', reset: 'reset', forgotten: 'open connections silent',
} as const;
type LinkFaultKind = Exclude<(typeof linkFaultKind)[keyof typeof linkFaultKind], 'open'>;

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
			store.forget();
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
		// Its answers are bad one by one; none is taken back.
	}
}

class WrittenConfiguration extends SoakFault {
	constructor() {
		super('configuration', 0);
	}

	start(world: SoakWorld): void {
		world.writeConfiguration();
	}

	close(): void {
		// A version that was written stays.
	}
}

/** Picks what goes wrong next. */
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
		() => new BadAnswers(engineHost, Array.from({length: 1 + random.pickIndex(4)}, () => pick(Object.values(engineFault)))),
		() => new WrittenConfiguration(),
	];
	return pick(faultFactories)();
}

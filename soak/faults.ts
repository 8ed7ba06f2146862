import {linkState} from '../rigs/link.js';
import {engineFault, storeMode} from '../standins/fleet/index.js';
import type {RandomSource} from '../src/rates/index.js';
import type {Link, LinkState} from '../rigs/link.js';
import type {EngineSite, SoakWorld} from './world.js';
import type {SoakVm} from './vm.js';

/** One thing that goes wrong from outside, for a while. */
export abstract class SoakFault {
	/** Takes how long it lasts, in milliseconds; 0: it is over when it was started. */
	constructor(readonly name: string, readonly lastsMs: number) {}

	/** Whether it keeps a VM from the store. */
	isCutting(_vm: SoakVm): boolean {
		return false;
	}

	abstract start(world: SoakWorld): Promise<void> | void;

	/** Ends it; called once, also when the run ends before its time. */
	abstract close(world: SoakWorld): Promise<void> | void;
}

/** Ends an entry's process with a signal, and starts it again. */
class EndedProcess extends SoakFault {
	readonly #vm: SoakVm;
	readonly #isKilled: boolean;

	constructor(vm: SoakVm, isKilled: boolean, lastsMs: number) {
		super(`${isKilled ? 'SIGKILL' : 'SIGTERM'} ${vm.name}`, lastsMs);
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
	constructor(readonly vm: SoakVm, lastsMs: number) {
		super(`SIGSTOP ${vm.name}`, lastsMs);
	}

	override isCutting(vm: SoakVm): boolean {
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
const slowMs = 120;
/** What a link does to what passes it. */
const linkTroubles = {
	...linkState, slow: 'slow', reset: 'reset', forgotten: 'open connections silent',
} as const;
type LinkTrouble = Exclude<(typeof linkTroubles)[keyof typeof linkTroubles], 'open'>;

class TroubledLink extends SoakFault {
	readonly #from: string;
	readonly #to: string;
	readonly #trouble: LinkTrouble;

	constructor(from: string, to: string, trouble: LinkTrouble, lastsMs: number) {
		super(`${from}>${to} ${trouble}`, lastsMs);
		this.#from = from;
		this.#to = to;
		this.#trouble = trouble;
	}

	override isCutting(vm: SoakVm): boolean {
		return this.#from === vm.name && this.#to === 'store';
	}

	start(world: SoakWorld): void {
		const link = this.#findLink(world);
		const {slow, reset, forgotten} = linkTroubles;
		const starts: Readonly<Record<string, () => void>> = {
			[slow]() {
				link.delayMs = slowMs;
			},
			[reset]() {
				link.reset();
			},
			[forgotten]() {
				link.forgetOpen();
			},
		};
		const start = starts[this.#trouble];
		if (start) {
			start();
		} else {
			link.state = this.#trouble as LinkState;
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

class TroubledStore extends SoakFault {
	readonly #trouble: string;

	constructor(trouble: string, lastsMs: number) {
		super(`store ${trouble}`, lastsMs);
		this.#trouble = trouble;
	}

	override isCutting(): boolean {
		return true;
	}

	start({store}: SoakWorld): void {
		if (this.#trouble === 'forgets') {
			store.forgetHistory();
		} else if (this.#trouble === 'loses answers') {
			store.lostAnswers = 3;
		} else {
			store.mode = this.#trouble as typeof store.mode;
		}
	}

	close({store}: SoakWorld): void {
		store.mode = storeMode.up;
		store.lostAnswers = 0;
	}
}

class CrashedEngine extends SoakFault {
	readonly #site: EngineSite;

	constructor(site: EngineSite, lastsMs: number) {
		super(`${site.name} crashes`, lastsMs);
		this.#site = site;
	}

	async start(world: SoakWorld): Promise<void> {
		await world.stopEngine(this.#site);
	}

	async close(world: SoakWorld): Promise<void> {
		await world.startEngine(this.#site);
	}
}

class BadAnswers extends SoakFault {
	readonly #site: EngineSite;
	readonly #faults: ReadonlyArray<keyof typeof engineFault>;

	constructor(site: EngineSite, faults: ReadonlyArray<keyof typeof engineFault>) {
		super(`${site.name} answers ${faults.join(', ')}`, 0);
		this.#site = site;
		this.#faults = faults;
	}

	start(): void {
		this.#site.engine.faults.push(...this.#faults);
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
	const site = pick(world.sites);
	const lastsMs = random.pickBetween(200, 3000);
	const target = pick(['store', site.name, site.name, pick(world.vms).name]);
	const {open, ...troubles} = linkTroubles;
	const kinds: ReadonlyArray<() => SoakFault> = [
		() => new EndedProcess(vm, true, lastsMs),
		() => new EndedProcess(vm, false, lastsMs),
		() => new PausedProcess(vm, lastsMs),
		() => new ReloadedSettings(vm),
		() => new TroubledLink(vm.name, target, pick(Object.values(troubles)), lastsMs),
		() => new TroubledLink(vm.name, target, pick(Object.values(troubles)), lastsMs),
		() => new TroubledStore(pick(['refusing', 'silent', 'resetting', 'forgets', 'loses answers']), lastsMs),
		() => new CrashedEngine(site, lastsMs),
		() => new BadAnswers(site, Array.from({length: 1 + random.pickIndex(4)}, () => pick(Object.values(engineFault)))),
		() => new WrittenConfiguration(),
	];
	return pick(kinds)();
}

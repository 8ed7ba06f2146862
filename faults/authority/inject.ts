import {operationKind} from '../../src/operations/index.js';
import {OperationRefusedError} from '../../src/errors/index.js';
import type {Step} from '../../src/procedures/index.js';
import {joinFacts} from '../fakes/domain.js';
import type {FakeDomain} from '../fakes/domain.js';
import type {FakeEntry} from '../fakes/entry.js';
import {faultName} from '../matrix.js';
import type {FaultName} from '../matrix.js';

const shortFreezeMs = 3000;
const longFreezeMs = 25_000;
const outageMs = 14_000;
const slowMs = 1200;
const crashMs = 1000;
const lateOrderMs = 4000;

/** Brings about one fault at one step of the process that runs it, once. */
export class FaultInjector {
	/** Entry at which the fault happened. */
	hit: FakeEntry | undefined;
	/** Operations taken in of those that raced. */
	taken = 0;
	isArmed = false;
	domain: FakeDomain | undefined;
	readonly #step: string;
	readonly #fault: FaultName;

	readonly #actions: Partial<Record<FaultName, (entry: FakeEntry) => Promise<void> | void>> = {
		[faultName.killBefore]: entry => {
			this.#abort(entry);
		},
		[faultName.freeze]: entry => {
			this.#stop(entry, shortFreezeMs);
		},
		[faultName.freezePastLease]: entry => {
			this.#stop(entry, longFreezeMs);
		},
		[faultName.platformDown]: () => {
			this.#setStores(true, 0);
		},
		[faultName.platformSlow]: () => {
			this.#setStores(false, slowMs);
		},
		[faultName.cutPlatform]: entry => {
			entry.store.isDown = true;
			this.#startHeal(() => {
				entry.store.isDown = false;
			});
		},
		[faultName.cutPeers]: entry => {
			this.#stopFeed(entry);
		},
		[faultName.answerLost]: entry => {
			this.#stopAnswer(entry);
		},
		[faultName.crossedAnswer]: entry => {
			this.#sendLate(entry);
		},
		[faultName.engineCrash]: () => {
			this.domain?.engines.get('e1')?.abort(crashMs);
		},
		[faultName.operatorRace]: async () => this.#askBoth(),
		[faultName.pair]: entry => {
			this.#stop(entry, longFreezeMs);
			this.domain?.engines.get('e1')?.abort(crashMs);
		},
	};

	constructor(step: string, fault: FaultName) {
		this.#step = step;
		this.#fault = fault;
	}

	/** Called before each step of every process. */
	async onBefore(entry: FakeEntry, step: Step): Promise<void> {
		if (this.#isDue(step) && this.#fault !== faultName.killAfter) {
			this.hit = entry;
			await this.#run(entry);
		}
	}

	/** Called after each step of every process. */
	async onAfter(entry: FakeEntry, step: Step): Promise<void> {
		if (this.#isDue(step) && this.#fault === faultName.killAfter) {
			this.hit = entry;
			this.#abort(entry);
		}
	}

	#isDue(step: Step): boolean {
		return this.isArmed && this.hit === undefined && step.name === this.#step;
	}

	async #run(entry: FakeEntry): Promise<void> {
		const run = this.#actions[this.#fault];
		if (!run) {
			throw new RangeError(`${this.#fault} is no fault of an authority`);
		}

		await run(entry);
	}

	#abort(entry: FakeEntry): void {
		this.domain?.abort(entry);
	}

	#stop(entry: FakeEntry, ms: number): void {
		entry.gate.stop();
		this.domain?.timers.startTimer(ms, () => {
			entry.gate.resume();
		});
	}

	#startHeal(heal: () => void): void {
		this.domain?.timers.startTimer(outageMs, heal);
	}

	#setStores(isDown: boolean, delayMs: number): void {
		for (const {store} of this.domain?.entries ?? []) {
			store.isDown = isDown;
			store.delayMs = delayMs;
		}

		if (isDown || delayMs > 0) {
			this.#startHeal(() => {
				this.#setStores(false, 0);
			});
		}
	}

	#stopFeed(entry: FakeEntry): void {
		entry.isCut = true;
		this.#startHeal(() => {
			entry.isCut = false;
			for (const other of this.domain?.entries ?? []) {
				if (other !== entry) {
					joinFacts(entry, other);
				}
			}
		});
	}

	#stopAnswer(entry: FakeEntry): void {
		if (!isOrderStep(this.#step)) {
			entry.store.lostAnswers = 1;
			return;
		}

		for (const client of entry.clients.values()) {
			client.lostAnswers = 1;
		}
	}

	#sendLate(entry: FakeEntry): void {
		for (const client of entry.clients.values()) {
			client.late = 1;
			client.lateMs = lateOrderMs;
		}
	}

	async #askBoth(): Promise<void> {
		const asked = [operationKind.drain, operationKind.withdraw].map(async (kind, index) => this.#tryAsk(`race-${index}`, kind));
		await Promise.all(asked);
	}

	async #tryAsk(id: string, kind: 'drain' | 'withdraw'): Promise<void> {
		try {
			await this.domain?.ask(id, kind, 'e1');
			this.taken++;
		} catch (error) {
			if (!(error instanceof OperationRefusedError) || !error.message.includes('has not ended')) {
				throw error;
			}
		}
	}
}

/** Asks whether a step hands an order to an engine. */
export function isOrderStep(step: string): boolean {
	return step.startsWith('send ') || step === 'seal the engine';
}

/** Asks whether a step writes to the store. */
export function isWriteStep(step: string): boolean {
	return step.startsWith('write ') || step.startsWith('raise ');
}

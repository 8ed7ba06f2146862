import {callStep, runProcedure} from '../procedures/index.js';
import type {Procedure, StepHooks} from '../procedures/index.js';
import type {History} from '../history/index.js';
import type {TimerService} from '../timers/index.js';

const checkPeriodMs = 100;
const defaultBalancerWaitMs = 5000;

/** How far an entry is on its way out. */
export const stopPhase = {
	serving: 'serving',
	/** Tells the balancer to send no more; still takes what comes. */
	notReady: 'not ready',
	/** Refuses new requests as not run; those in progress end. */
	draining: 'draining',
	stopped: 'stopped',
} as const;

/** See {@link stopPhase}. */
export type StopPhase = (typeof stopPhase)[keyof typeof stopPhase];

/** Work to be done after the last request and before the exit, such as giving up a lease. */
export type LastTask = {readonly name: string; readonly run: () => Promise<void>};

type StopSettings = {readonly timers: TimerService; readonly history: History; readonly balancerWaitMs?: number};

/**
Graceful stop of an entry: first not ready, then no new requests, then the end of all in progress however long they
take, then the last tasks. Nothing cuts a request; a further signal only says what is waited for.

@example
```
const stop = new GracefulStop({timers, history});
const finish = stop.startRequest('chat');
process.on('SIGTERM', () => void stop.onSignal());
```
*/
export class GracefulStop {
	phase: StopPhase = stopPhase.serving;
	readonly #running = new Map<string, number>();
	readonly #tasks: LastTask[] = [];
	readonly #settings: StopSettings;
	#isStopping = false;
	readonly #waiters: Array<() => void> = [];

	constructor(settings: StopSettings) {
		this.#settings = settings;
	}

	/** Whether new requests are taken. */
	get isOpen(): boolean {
		return this.phase === stopPhase.serving || this.phase === stopPhase.notReady;
	}

	/** Counts a request as in progress; the result ends that, and a second call of it does nothing. */
	startRequest(kind: string): () => void {
		this.#running.set(kind, (this.#running.get(kind) ?? 0) + 1);
		let isRunning = true;
		return () => {
			if (isRunning) {
				isRunning = false;
				this.#running.set(kind, (this.#running.get(kind) ?? 0) - 1);
			}
		};
	}

	/** Counts the requests in progress. */
	countRunning(): number {
		return [...this.#running.values()].reduce((sum, count) => sum + count, 0);
	}

	/** Waits for the end of the last task. */
	async waitForStop(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#waiters.push(resolve);
		});
	}

	/** Adds work to be done after the last request, in the order of adding. */
	addLastTask(task: LastTask): void {
		this.#tasks.push(task);
	}

	/** Begins the stop; a further signal cuts nothing and records what is waited for. */
	async onSignal(hooks: StepHooks = {}): Promise<void> {
		if (this.#isStopping) {
			this.#record('waits', this.#formatRunning());
			return;
		}

		this.#record('stopping', this.#formatRunning());
		this.#isStopping = true;
		await runProcedure(this.stop(), hooks);
		for (const wake of this.#waiters) {
			wake();
		}
	}

	/** The steps of the stop. */
	* stop(): Procedure<void> {
		const {timers, balancerWaitMs = defaultBalancerWaitMs} = this.#settings;
		yield * callStep('say not ready', () => {
			this.phase = stopPhase.notReady;
		});
		yield * callStep('wait for the balancer', async () => timers.sleep(balancerWaitMs));
		yield * callStep('refuse new requests', () => {
			this.phase = stopPhase.draining;
			this.#record('draining', this.#formatRunning());
		});
		yield * callStep('wait for requests in progress', async () => this.#waitForRunning());
		for (const task of this.#tasks) {
			yield * callStep(task.name, task.run);
		}

		yield * callStep('say stopped', () => {
			this.phase = stopPhase.stopped;
			this.#record('stopped', 'no request was cut');
		});
	}

	async #waitForRunning(): Promise<void> {
		while (this.countRunning() > 0) {
			await this.#settings.timers.sleep(checkPeriodMs);
		}
	}

	#formatRunning(): string {
		const counts = [...this.#running].filter(([, count]) => count > 0).map(([kind, count]) => `${count} ${kind}`);
		return counts.length === 0 ? 'no request in progress' : `in progress: ${counts.join(', ')}`;
	}

	#record(kind: string, detail: string): void {
		this.#settings.history.record({subject: 'process', kind, detail});
	}
}

import {callStep, runProcedure} from '../procedures/index.js';
import type {Procedure, StepHooks} from '../procedures/index.js';
import type {History} from '../history/index.js';
import type {TimerService} from '../timers/index.js';

const checkIntervalMs = 100;
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
export type ShutdownTask = {readonly name: string; readonly run: () => Promise<void>};

type GracefulStopDependencies = {readonly timers: TimerService; readonly history: History; readonly balancerWaitMs?: number};

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
	readonly #inProgress = new Map<string, number>();
	readonly #tasks: ShutdownTask[] = [];
	readonly #dependencies: GracefulStopDependencies;
	#isStopping = false;
	readonly #stopWaiters: Array<() => void> = [];

	constructor(dependencies: GracefulStopDependencies) {
		this.#dependencies = dependencies;
	}

	/** Whether new requests are taken. */
	get isAccepting(): boolean {
		return this.phase === stopPhase.serving || this.phase === stopPhase.notReady;
	}

	/** Counts a request as in progress; the result ends that, and a second call of it does nothing. */
	startRequest(kind: string): () => void {
		this.#inProgress.set(kind, (this.#inProgress.get(kind) ?? 0) + 1);
		let isInProgress = true;
		return () => {
			if (isInProgress) {
				isInProgress = false;
				this.#inProgress.set(kind, (this.#inProgress.get(kind) ?? 0) - 1);
			}
		};
	}

	/** Counts the requests in progress. */
	countInProgress(): number {
		return [...this.#inProgress.values()].reduce((sum, count) => sum + count, 0);
	}

	/** Waits for the end of the last task. */
	async waitForStop(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#stopWaiters.push(resolve);
		});
	}

	/** Adds work to be done after the last request, in the order of adding. */
	addShutdownTask(task: ShutdownTask): void {
		this.#tasks.push(task);
	}

	/** Begins the stop; a further signal cuts nothing and records what is waited for. */
	async onSignal(hooks: StepHooks = {}): Promise<void> {
		if (this.#isStopping) {
			this.#record('waits', this.#formatInProgress());
			return;
		}

		this.#record('stopping', this.#formatInProgress());
		this.#isStopping = true;
		await runProcedure(this.stop(), hooks);
		for (const notify of this.#stopWaiters) {
			notify();
		}
	}

	/** The steps of the stop. */
	* stop(): Procedure<void> {
		const {timers, balancerWaitMs = defaultBalancerWaitMs} = this.#dependencies;
		yield * callStep('say not ready', () => {
			this.phase = stopPhase.notReady;
		});
		yield * callStep('wait for the balancer', async () => timers.sleep(balancerWaitMs));
		yield * callStep('refuse new requests', () => {
			this.phase = stopPhase.draining;
			this.#record('draining', this.#formatInProgress());
		});
		yield * callStep('wait for requests in progress', async () => this.#waitForRequests());
		for (const task of this.#tasks) {
			yield * callStep(task.name, task.run);
		}

		yield * callStep('say stopped', () => {
			this.phase = stopPhase.stopped;
			this.#record('stopped', 'no request was cut');
		});
	}

	async #waitForRequests(): Promise<void> {
		while (this.countInProgress() > 0) {
			await this.#dependencies.timers.sleep(checkIntervalMs);
		}
	}

	#formatInProgress(): string {
		const counts = [...this.#inProgress].filter(([, count]) => count > 0).map(([kind, count]) => `${count} ${kind}`);
		return counts.length === 0 ? 'no request in progress' : `in progress: ${counts.join(', ')}`;
	}

	#record(kind: string, detail: string): void {
		this.#dependencies.history.record({subject: 'process', kind, detail});
	}
}

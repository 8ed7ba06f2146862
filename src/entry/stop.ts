import {callStep, runProcedure} from '../procedures/index.js';
import type {Procedure, StepHooks} from '../procedures/index.js';
import type {History} from '../history/index.js';
import type {TimerService} from '../timers/index.js';

const checkIntervalMs = 100;
const defaultBalancerWaitMs = 5000;

/** Phases of a graceful stop, in their order. */
export const stopPhase = {
	serving: 'serving',
	/** Reports itself as not ready, so that the balancer stops sending; still accepts requests. */
	notReady: 'not ready',
	/** Refuses new requests as not run; requests in progress continue to their end. */
	draining: 'draining',
	stopped: 'stopped',
} as const;

/** See {@link stopPhase}. */
export type StopPhase = (typeof stopPhase)[keyof typeof stopPhase];

/** Work to be done after the last request and before the exit, such as releasing a lease. `name` is the name of its step. */
export type ShutdownTask = {readonly name: string; readonly run: () => Promise<void>};

type GracefulStopDependencies = {readonly timers: TimerService; readonly history: History; readonly balancerWaitMs?: number};

/**
Graceful stop of an entry. It first reports not ready, then refuses new requests, then waits for all requests in progress,
however long they take, and then runs the shutdown tasks. No request is cut off: a further signal only records what the
stop is waiting for.

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

	/** Whether new requests are accepted. */
	get isAccepting(): boolean {
		return this.phase === stopPhase.serving || this.phase === stopPhase.notReady;
	}

	/** Counts a request as in progress. Returns the function to call when it has finished; calling that again does nothing. */
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

	/** Counts the requests in progress, of all kinds. */
	countInProgress(): number {
		return [...this.#inProgress.values()].reduce((sum, count) => sum + count, 0);
	}

	/** Waits until the stop that the first signal starts is complete. */
	async waitForStop(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#stopWaiters.push(resolve);
		});
	}

	/** Adds work to be done after the last request. Tasks run one after another, in the order in which they were added. */
	addShutdownTask(task: ShutdownTask): void {
		this.#tasks.push(task);
	}

	/** Runs the stop at the first signal. At a further one, only records the requests that the stop is waiting for. */
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

	/** Steps of the stop, as a procedure. */
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

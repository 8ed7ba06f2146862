import type {EngineView} from '../dispatch/index.js';
import {retryReason} from '../errors/index.js';
import {Attempt} from './attempt.js';
import type {AttemptOptions} from './attempt.js';
import {checkEvents} from './events.js';
import type {PlainProgress} from './plainprogress.js';
import {reportBegun} from './served.js';
import type {GatewayDependencies, ServedRequest} from './served.js';
import {requestKind} from './types.js';

/** Share of the route's target after which a request that may be repeated is also sent to another engine, which can still answer on time. */
const silenceTimeoutShare = 0.6;

/** A send that has ended; without a body it has failed, or its answer must not reach the caller. */
export type EndedSend = {readonly attempt: Attempt; readonly body: Uint8Array | undefined};

/**
Sends a request of an application service to an engine, and to a further one if that is silent and the request may be repeated. The first successful
answer counts, and the other send is then ended.
*/
export class PlainRace {
	readonly #dependencies: GatewayDependencies;
	readonly #served: ServedRequest;
	readonly #progress: PlainProgress;
	/** Called when a send has ended. */
	readonly #onEnd: () => void;
	readonly #open = new Set<Attempt>();
	#settle: {readonly resolve: (ended: EndedSend) => void; readonly reject: (error: unknown) => void} | undefined;
	/** An engine's failure with a body, which the caller gets when no other engine answers. */
	#failure: EndedSend | undefined;
	#isSearching = false;

	constructor(dependencies: GatewayDependencies, served: ServedRequest, progress: PlainProgress, onEnd: () => void) {
		this.#dependencies = dependencies;
		this.#served = served;
		this.#progress = progress;
		this.#onEnd = onEnd;
	}

	/** Sends the request to an engine and waits for a successful answer, or the failure of the last send. */
	async run(view: EngineView): Promise<EndedSend> {
		return new Promise((resolve, reject) => {
			this.#settle = {resolve, reject};
			void this.#trySend(view);
		});
	}

	/** Sends the request to an engine; an error that says nothing about the engine ends the race. Never throws. */
	async #trySend(view: EngineView): Promise<void> {
		try {
			await this.#send(view);
		} catch (error) {
			if (this.#settle) {
				this.#settle.reject(error);
			} else {
				this.#dependencies.reporter.onTaskFailed('end a send that is not needed', this.#served.request.id, error);
			}
		}
	}

	async #send(view: EngineView): Promise<void> {
		const {route} = this.#served;
		const isRepeatable = route.kind === requestKind.idempotent;
		const options: AttemptOptions = {
			purpose: 'run',
			silenceTimeoutMs: isRepeatable ? route.targetMs * silenceTimeoutShare : undefined,
			onSilence: () => {
				void this.#trySendFurther();
			},
			mayReuseIdle: isRepeatable,
		};
		const attempt = new Attempt(this.#dependencies, this.#served, view, options);
		this.#open.add(attempt);
		this.#progress.openSends++;
		await attempt.send(this.#served, options);
		if (attempt.reply?.hasReceipt && !attempt.isNotRun && !attempt.isUnprovenRefusal) {
			reportBegun(this.#dependencies, this.#served);
		}

		const body = attempt.isNotRun ? undefined : await readAnswer(this.#served, attempt);
		if (body) {
			attempt.finish();
		}

		this.#open.delete(attempt);
		this.#progress.onEnd(attempt);
		this.#onEnd();
		this.#handleEnd({attempt, body: attempt.isUnprovenRefusal ? undefined : body});
	}

	#handleEnd(ended: EndedSend): void {
		const isSuccess = ended.body !== undefined && ended.attempt.isSuccess;
		if (!isSuccess && ended.body) {
			this.#failure = ended;
		}

		if (!isSuccess && this.#open.size > 0) {
			return;
		}

		this.#settle?.resolve(isSuccess ? ended : this.#failure ?? ended);
		this.#settle = undefined;
		for (const attempt of this.#open) {
			attempt.cancelAfterAnswer();
		}
	}

	/** Sends the request to a further engine, if one can take it. Never throws: the answer may still come from the silent engine. */
	async #trySendFurther(): Promise<void> {
		try {
			await this.#sendFurther();
		} catch (error) {
			this.#dependencies.reporter.onTaskFailed('send to a further engine', this.#served.request.id, error);
		}
	}

	async #sendFurther(): Promise<void> {
		const {permits, timers, retryBudget, reporter} = this.#dependencies;
		const [silent] = this.#open;
		if (this.#isSearching || !silent || !this.#settle || !this.#progress.hasRunsLeft(this.#served)) {
			return;
		}

		const view = this.#progress.chooseFurtherEngine(this.#dependencies, this.#served, [...this.#open].map(attempt => attempt.view), timers.getNow());
		if (!view) {
			return;
		}

		if (permits.isLimited(view.record) && !await this.#takePermit(view)) {
			this.#progress.limitedEngines.add(view);
			this.#served.trace.refusedPermits++;
			return;
		}

		if (this.#settle && !this.#served.signal.aborted && retryBudget.tryTake(this.#served.service)) {
			permits.onSend(view.record);
			reporter.onTakeover(silent.view, view, this.#served.request.id);
			reporter.onRetry(retryReason.repeatable);
			void this.#trySend(view);
		}
	}

	async #takePermit({record}: EngineView): Promise<boolean> {
		this.#isSearching = true;
		try {
			return await this.#dependencies.permits.takePermit(record);
		} finally {
			this.#isSearching = false;
		}
	}
}

/** Reads the whole answer; returns `undefined` when it broke off, or is a success that does not come from an engine. */
async function readAnswer(served: ServedRequest, attempt: Attempt): Promise<Uint8Array | undefined> {
	const body = await attempt.readBody();
	if (body && attempt.isSuccess && !attempt.reply?.hasReceipt) {
		attempt.abort(new TypeError('The answer has a 2xx status but no receipt.'));
		return undefined;
	}

	if (body && attempt.isSuccess && served.route.kind === requestKind.stream) {
		try {
			checkEvents(body, !attempt.reply?.isEventStream || served.request.resumeAfter !== undefined);
		} catch (error) {
			attempt.abort(error);
			return undefined;
		}
	}

	return body;
}

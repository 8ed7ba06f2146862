import {computeFallbackMs, estimateCompletionMs} from '../dispatch/index.js';
import type {AdmissionQueue, EngineView} from '../dispatch/index.js';
import {retryReason} from '../errors/index.js';
import type {OpenExtraSend} from '../hedging/index.js';
import type {Timer} from '../timers/index.js';
import {Attempt} from './attempt.js';
import type {AttemptOptions} from './attempt.js';
import {checkEvents} from './events.js';
import type {PlainProgress} from './plainprogress.js';
import {findAccessRefusal, reportBegun} from './served.js';
import type {GatewayDependencies, ServedRequest} from './served.js';
import {requestKind} from './types.js';

/** Share of the route's target after which a request that may be repeated is also sent to another engine, which can still answer on time. */
const silenceTimeoutShare = 0.6;

/** A send that has ended; without a body it has failed, or its answer must not reach the caller. */
export type EndedSend = {readonly attempt: Attempt; readonly body: Uint8Array | undefined};

/** An extra send of a slow request that is charged until the race is decided or the send has ended. */
type ExtraSend = {readonly open: OpenExtraSend; attempt: Attempt | undefined};

/**
Sends a request of an application service to an engine, and to a further one if that is silent and the request may be repeated. The first successful
answer counts, and the other send is then ended. Where the operator allows extra work, a request that is slow without being silent may also be
sent to a further engine.
*/
export class PlainRace {
	readonly #dependencies: GatewayDependencies;
	readonly #served: ServedRequest;
	readonly #progress: PlainProgress;
	/** Requests that wait for an engine of the service. */
	readonly #queue: AdmissionQueue<EngineView>;
	readonly #open = new Set<Attempt>();
	#settle: {readonly resolve: (ended: EndedSend) => void; readonly reject: (error: unknown) => void} | undefined;
	/** An engine's failure with a body, which the caller gets when no other engine answers. */
	#failure: EndedSend | undefined;
	#isSearching = false;
	#extraTimer: Timer | undefined;
	#extra: ExtraSend | undefined;

	constructor(dependencies: GatewayDependencies, served: ServedRequest, progress: PlainProgress, queue: AdmissionQueue<EngineView>) {
		this.#dependencies = dependencies;
		this.#served = served;
		this.#progress = progress;
		this.#queue = queue;
	}

	/** Sends the request to an engine and waits for a successful answer, or the failure of the last send. */
	async run(view: EngineView): Promise<EndedSend> {
		return new Promise((resolve, reject) => {
			this.#settle = {resolve, reject};
			void this.#trySend(view);
		});
	}

	/** Sends the request to an engine; an error that says nothing about the engine ends the race. Never throws. */
	async #trySend(view: EngineView, extra?: ExtraSend): Promise<void> {
		try {
			await this.#send(view, extra);
		} catch (error) {
			this.#finishExtra(undefined);
			if (this.#settle) {
				this.#settle.reject(error);
			} else {
				this.#dependencies.reporter.onTaskFailed('end a send that is not needed', this.#served.request.id, error);
			}
		}
	}

	async #send(view: EngineView, extra: ExtraSend | undefined): Promise<void> {
		const {route} = this.#served;
		const {extraSends} = this.#dependencies;
		const isRepeatable = route.kind === requestKind.idempotent;
		const options: AttemptOptions = {
			purpose: extra ? 'extra' : 'run',
			silenceTimeoutMs: isRepeatable ? route.targetMs * silenceTimeoutShare : undefined,
			onSilence: () => {
				void this.#trySendFurther();
			},
			mayReuseIdle: isRepeatable,
		};
		const expectedMs = extraSends && isRepeatable ? this.#estimateMs(view) : undefined;
		const attempt = new Attempt(this.#dependencies, this.#served, view, options);
		this.#open.add(attempt);
		if (extra) {
			extra.attempt = attempt;
			this.#startExtraEndTimer(extra, attempt);
		} else if (expectedMs !== undefined && !this.#extraTimer) {
			this.#startExtraTimer(attempt, expectedMs, extraSends?.computeDelayMs(route.name, expectedMs));
		}

		this.#progress.openSends++;
		await attempt.send(this.#served, options);
		if (attempt.reply?.hasReceipt && !attempt.isNotRun && !attempt.isUnprovenRefusal) {
			reportBegun(this.#dependencies, this.#served);
		}

		const body = attempt.isNotRun ? undefined : await readAnswer(this.#served, attempt);
		if (body) {
			attempt.finish();
			if (attempt.isSuccess && expectedMs !== undefined) {
				extraSends?.onAnswer(route.name, attempt.trace.tookMs ?? 0, expectedMs);
			}
		}

		this.#open.delete(attempt);
		this.#progress.onEnd(attempt);
		this.#queue.dispatch();
		this.#handleEnd({attempt, body: attempt.isUnprovenRefusal ? undefined : body});
	}

	#handleEnd(ended: EndedSend): void {
		const isSuccess = ended.body !== undefined && ended.attempt.isSuccess;
		if (!isSuccess && ended.body) {
			this.#failure = ended;
		}

		if (!isSuccess && this.#open.size > 0) {
			if (ended.attempt === this.#extra?.attempt) {
				this.#finishExtra(undefined);
			}

			return;
		}

		this.#extraTimer?.cancel();
		this.#settle?.resolve(isSuccess ? ended : this.#failure ?? ended);
		this.#settle = undefined;
		for (const attempt of this.#open) {
			if (this.#extra) {
				// The work of the loser counts as extra until it ends.
				attempt.cancel();
			} else {
				attempt.cancelAfterAnswer();
			}
		}

		this.#finishExtra(ended.attempt);
	}

	#estimateMs(view: EngineView): number {
		const {fleet, service} = this.#served;
		return estimateCompletionMs(view, computeFallbackMs(fleet.listServing(service)), this.#dependencies.timers.getNow());
	}

	/** Looks after `delayMs` at whether the request is slow at its engine; never where that is `undefined`. */
	#startExtraTimer(attempt: Attempt, expectedMs: number, delayMs: number | undefined): void {
		this.#extraTimer = delayMs === undefined
			? undefined
			: this.#dependencies.timers.startTimeout(delayMs, () => {
				try {
					this.#trySendExtra(attempt, expectedMs);
				} catch (error) {
					this.#dependencies.reporter.onTaskFailed('send a slow request to a further engine', this.#served.request.id, error);
				}
			});
	}

	/** Sends the request to a further engine beside one that is slow, if that is expected to answer sooner and all limits allow it. */
	#trySendExtra(attempt: Attempt, expectedMs: number): void {
		const {timers, extraSends, retryBudget, permits, reporter} = this.#dependencies;
		const {service, route, request, signal} = this.#served;
		const isAlone = this.#open.size === 1 && this.#open.has(attempt) && !attempt.reply && !this.#isSearching;
		const isAllowed = this.#progress.hasRunsLeft(this.#served) && findAccessRefusal(this.#dependencies, this.#served) === undefined;
		if (!extraSends || !this.#settle || signal.aborted || !isAlone || !isAllowed) {
			return;
		}

		const now = timers.getNow();
		const elapsedMs = now - attempt.startedAt;
		// Requests that wait need the room more than this one.
		const further = this.#queue.size > 0 ? undefined : this.#progress.findExtraEngine(this.#dependencies, this.#served, [attempt.view], now);
		const isUseful = further && extraSends.isSooner(route.name, {elapsedMs, expectedMs, furtherMs: further.expectedMs});
		const loserMs = elapsedMs + (further?.expectedMs ?? 0);
		if (isUseful && extraSends.isCovered(loserMs) && retryBudget.tryTake(service)) {
			permits.onSend(further.view.record);
			reporter.onExtraSend(attempt.view, further.view, request.id, elapsedMs);
			reporter.onRetry(retryReason.hedged);
			this.#extra = {open: extraSends.start(loserMs, elapsedMs), attempt: undefined};
			void this.#trySend(further.view, this.#extra);
			return;
		}

		this.#startExtraTimer(attempt, expectedMs, extraSends.computeRecheckMs(elapsedMs));
	}

	/** Ends an extra send when further work is not covered; if the other send has failed meanwhile, it goes on as a retry would. */
	#startExtraEndTimer(extra: ExtraSend, attempt: Attempt): void {
		this.#extraTimer?.cancel();
		this.#extraTimer = this.#dependencies.timers.startTimeout(extra.open.maxMs, () => {
			if (this.#extra === extra && this.#open.size > 1) {
				attempt.cancel();
			} else if (this.#extra === extra) {
				this.#finishExtra(undefined);
			}
		});
	}

	/** Charges an extra send with the work of the engine that did not serve the request. `winner` is the send that ended the race; `undefined` where the extra send has ended before. */
	#finishExtra(winner: Attempt | undefined): void {
		const extra = this.#extra;
		this.#extra = undefined;
		if (!extra?.attempt) {
			// Its send could not be started.
			extra?.open.finish(false, 0);
			return;
		}

		const isWon = winner === extra.attempt && winner.isSuccess;
		const now = this.#dependencies.timers.getNow();
		const losers = isWon ? [...this.#open] : [extra.attempt];
		const extraMs = losers.reduce((sum, {isNotSent, trace: {tookMs}, startedAt}) => sum + (isNotSent ? 0 : tookMs ?? now - startedAt), 0);
		extra.open.finish(isWon, extraMs);
		this.#dependencies.reporter.onExtraSendEnd(extra.attempt.view, this.#served.request.id, {isWon, extraMs});
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

		const isPermitted = findAccessRefusal(this.#dependencies, this.#served) === undefined;
		if (isPermitted && this.#settle && !this.#served.signal.aborted && retryBudget.tryTake(this.#served.service)) {
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

import {QueueRefusal} from '../dispatch/index.js';
import type {EngineOutcome, StreamPace} from '../dispatch/index.js';
import {NotRunError, refusalReason} from '../errors/index.js';
import type {MessageLink, MessageNetwork} from '../peers/index.js';
import type {BlockQuarantine} from '../quarantine/index.js';
import type {LimitedEngine, RequestLimits} from '../requestlimits/index.js';
import type {Timer, TimerService} from '../timers/index.js';
import {LimitLink} from './limitlink.js';
import {parseItems, allocatorMessageKind, toItems} from './messages.js';
import type {AllocatorMessage} from './messages.js';
import {QuarantineLink} from './quarantinelink.js';
import {Reservation} from './types.js';
import type {PermitAnswer, ReservedEngines, ReservationRequest} from './types.js';

/** Interval between checks that the allocator answers, in milliseconds. */
const checkIntervalMs = 75;
/** Checks per ping while messages arrive: at an allocator the pings of many entries add up. */
const checksPerPing = 4;
/** Time without an answer to a ping after which the allocator counts as lost, in milliseconds. */
const pingTimeoutMs = 300;
/** Round trip above which a ping counts as slow, in milliseconds: longer than a short target, so that grants would come too late. */
const slowPingMs = 150;
/** Consecutive slow pings after which the allocator counts as lost. */
const slowPingLimit = 3;
/** Time without an answer to a request for a permit after which another engine is tried, in milliseconds. */
const permitTimeoutMs = 150;
/** Delay of a check above which ping times are ignored, in milliseconds: they then show that this process is busy, not the allocator. */
const maxLocalLagMs = 15;

/** Callbacks of a `RemoteAllocator`. */
export type AllocatorEvents = {
	/** Called once, when the allocator is lost or its connection was closed. */
	readonly onLost: (reason: string) => void;
	/** Called when a request was granted or refused, with the grant rate of its kind. */
	readonly onAnswer: (request: ReservationRequest, isGranted: boolean, grantRate: number) => void;
	/** Called when a request was refused because of engines' limits, with the time after which its caller may return, in milliseconds. */
	readonly onLimited: (request: ReservationRequest, retryAfterMs: number) => void;
};

/** What a `RemoteAllocator` shares with this process. */
export type AllocatorState = {
	/** Quarantines of this process, which are kept like those of the allocator's. */
	readonly quarantine: BlockQuarantine;
	/** Engines' limits that this process knows, kept alike too. */
	readonly limits: RequestLimits;
	/** VM of this process. */
	readonly localVm: string;
};

type PendingRequest = {
	readonly request: ReservationRequest;
	readonly resolve: (engines: ReservedEngines) => void;
	readonly reject: (error: Error) => void;
};

type PendingPermit = {
	readonly resolve: (answer: PermitAnswer) => void;
	readonly reject: (error: Error) => void;
	readonly timer: Timer;
};

/** The slot allocator can't be reached; a reservation has to be acquired elsewhere. The error's `name` keeps an earlier name of the class. */
export class AllocatorLostError extends Error {
	override readonly name = 'KeeperLostError';
}

/** Client of the slot allocator of another entry. */
export class RemoteAllocator {
	readonly #timers: TimerService;
	readonly #link: MessageLink;
	readonly #onLost: (reason: string) => void;
	readonly #onAnswer: AllocatorEvents['onAnswer'];
	readonly #onLimited: AllocatorEvents['onLimited'];
	readonly #quarantineLink: QuarantineLink;
	readonly #limitLink: LimitLink;
	readonly #pending = new Map<number, PendingRequest>();
	readonly #pendingPermits = new Map<number, PendingPermit>();
	readonly #checkTimer: Timer;
	#nextId = 0;
	readonly #pings = new Map<number, number>();
	#consecutiveSlowPings = 0;
	#checks = 0;
	#lastReceivedAt: number;
	#checkDueAt: number;
	#isLagging = false;
	#isLost = false;

	constructor(timers: TimerService, network: MessageNetwork, address: string, {
		onLost, onAnswer, onLimited, quarantine, limits, localVm,
	}: AllocatorEvents & AllocatorState) {
		this.#timers = timers;
		this.#onLost = onLost;
		this.#onAnswer = onAnswer;
		this.#onLimited = onLimited;
		this.#checkDueAt = timers.getNow();
		this.#lastReceivedAt = timers.getNow();
		this.#quarantineLink = new QuarantineLink(timers, quarantine, message => {
			this.#send(message);
		});
		this.#limitLink = new LimitLink({
			timers, limits, localVm, send: message => {
				this.#send(message);
			},
		});
		this.#link = network.open(address, {
			onMessage: items => {
				this.#onMessage(parseItems(items));
			},
			onClose: () => {
				this.#markLost('connection closed');
			},
		});
		this.#quarantineLink.start();
		this.#limitLink.start();
		this.#sendPing();
		this.#checkTimer = timers.startInterval(checkIntervalMs, () => {
			this.#checkAllocator();
		});
	}

	/**
	Waits for a reservation. Throws `NotRunError` when the request is refused or `signal` is aborted, and
	`AllocatorLostError` when the allocator is lost.
	*/
	async acquire(request: ReservationRequest, signal: AbortSignal): Promise<RemoteReservation> {
		const id = this.#nextId++;
		const engines = await new Promise<ReservedEngines>((resolve, reject) => {
			if (this.#isLost) {
				reject(new AllocatorLostError('The slot allocator was lost before the request was sent.'));
				return;
			}

			// A signal that is already aborted emits no event.
			if (signal.aborted) {
				reject(createCancelledError());
				return;
			}

			const onAbort = () => {
				if (this.#pending.delete(id)) {
					this.#send({kind: allocatorMessageKind.cancel, id});
					reject(createCancelledError());
				}
			};

			this.#pending.set(id, {
				request,
				resolve(engines) {
					signal.removeEventListener('abort', onAbort);
					resolve(engines);
				},
				reject(error) {
					signal.removeEventListener('abort', onAbort);
					reject(error);
				},
			});
			this.#send({kind: allocatorMessageKind.request, id, request});
			signal.addEventListener('abort', onAbort, {once: true});
		});
		return new RemoteReservation(engines, message => {
			this.#send({...message, id});
		});
	}

	/** Tells the allocator of a reservation that another one granted. Returns it as a reservation of this allocator too. */
	registerReservation(request: ReservationRequest, engines: ReservedEngines, isPrefillPending: boolean): RemoteReservation {
		const id = this.#nextId++;
		this.#send({
			kind: allocatorMessageKind.adopt, id, request, engines, isPrefillPending,
		});
		return new RemoteReservation(engines, message => {
			this.#send({...message, id});
		});
	}

	/**
	Asks for a permit to send one request to an engine that names a limit. An allocator that does not answer in time has refused it. Throws
	`AllocatorLostError` when the allocator is lost.
	*/
	async takePermit(engine: LimitedEngine, priorCount: number): Promise<PermitAnswer> {
		const id = this.#nextId++;
		return new Promise<PermitAnswer>((resolve, reject) => {
			if (this.#isLost) {
				reject(new AllocatorLostError('The slot allocator was lost before the request was sent.'));
				return;
			}

			const timer = this.#timers.startTimeout(permitTimeoutMs, () => {
				this.#pendingPermits.delete(id);
				resolve({isGranted: false, waitMs: permitTimeoutMs});
			});
			this.#pendingPermits.set(id, {resolve, reject, timer});
			this.#send({
				kind: allocatorMessageKind.permitRequest, id, engine, priorCount,
			});
		});
	}

	/** Closes the connection. */
	close(): void {
		this.#markLost('closed');
	}

	#send(message: AllocatorMessage): void {
		this.#link.send(toItems(message));
	}

	/**
	Checks that the allocator answers. Sends a ping at every `checksPerPing`th check, and at each check at which requests are
	pending but nothing was received for `checkIntervalMs`.
	*/
	#checkAllocator(): void {
		const now = this.#timers.getNow();
		this.#isLagging = now - this.#checkDueAt > maxLocalLagMs;
		this.#checkDueAt = now + checkIntervalMs;
		const [oldestSentAt] = this.#pings.values();
		if (oldestSentAt !== undefined && !this.#isLagging && now - oldestSentAt > pingTimeoutMs) {
			this.#markLost('silent');
			return;
		}

		this.#checks++;
		const isSilent = this.#pending.size + this.#pendingPermits.size > 0 && now - this.#lastReceivedAt >= checkIntervalMs;
		if (isSilent || this.#checks % checksPerPing === 0) {
			this.#sendPing();
		}
	}

	#sendPing(): void {
		const now = this.#timers.getNow();
		const id = this.#nextId++;
		this.#pings.set(id, now);
		this.#send({kind: allocatorMessageKind.ping, id});
	}

	/** Handles a message from the allocator; ignores kinds that are only sent to an allocator. */
	#onMessage(message: AllocatorMessage): void {
		this.#lastReceivedAt = this.#timers.getNow();
		if (message.kind === allocatorMessageKind.quarantine) {
			this.#quarantineLink.onMessage(message.quarantines);
			return;
		}

		if (message.kind === allocatorMessageKind.limits) {
			this.#limitLink.onMessage(message.limits);
			return;
		}

		if (message.kind === allocatorMessageKind.permit) {
			const pendingPermit = this.#pendingPermits.get(message.id);
			this.#pendingPermits.delete(message.id);
			pendingPermit?.timer.cancel();
			pendingPermit?.resolve(message);
			return;
		}

		if (message.kind === allocatorMessageKind.pong) {
			this.#onPong(message.id);
			return;
		}

		const pending = this.#pending.get(message.id);
		if (message.kind === allocatorMessageKind.grant) {
			this.#pending.delete(message.id);
			if (pending) {
				this.#onAnswer(pending.request, true, message.grantRate);
				pending.resolve(message.engines);
			}
		} else if (message.kind === allocatorMessageKind.refuse) {
			this.#pending.delete(message.id);
			if (pending) {
				// What is wrong with one prompt says nothing about the requests of its kind.
				if (message.reason === refusalReason.limited) {
					this.#onLimited(pending.request, message.retryAfterMs);
				} else if (message.reason !== refusalReason.quarantined) {
					this.#onAnswer(pending.request, false, message.grantRate);
				}

				pending.reject(new QueueRefusal(message.reason, message.retryAfterMs).toError());
			}
		}
	}

	#onPong(id: number): void {
		const sentAt = this.#pings.get(id);
		this.#pings.delete(id);
		if (sentAt === undefined) {
			return;
		}

		this.#consecutiveSlowPings = !this.#isLagging && this.#timers.getNow() - sentAt > slowPingMs ? this.#consecutiveSlowPings + 1 : 0;
		if (this.#consecutiveSlowPings >= slowPingLimit) {
			this.#markLost('slow');
		}
	}

	#markLost(reason: string): void {
		if (this.#isLost) {
			return;
		}

		this.#isLost = true;
		this.#checkTimer.cancel();
		this.#quarantineLink.close();
		this.#limitLink.close();
		this.#link.close();
		const pending = [...this.#pending.values()];
		this.#pending.clear();
		const pendingPermits = [...this.#pendingPermits.values()];
		this.#pendingPermits.clear();
		for (const {timer} of pendingPermits) {
			timer.cancel();
		}

		for (const {reject} of [...pending, ...pendingPermits]) {
			reject(new AllocatorLostError(`The slot allocator was lost before it answered: ${reason}.`));
		}

		this.#onLost(reason);
	}
}

type ReservationUpdate =
	| {readonly kind: typeof allocatorMessageKind.prefillEnd | typeof allocatorMessageKind.release; readonly outcome: EngineOutcome | undefined}
	| {readonly kind: typeof allocatorMessageKind.silence; readonly isSilent: boolean}
	| {readonly kind: typeof allocatorMessageKind.pace; readonly pace: StreamPace};

/** A reservation granted by the allocator of another entry. */
export class RemoteReservation extends Reservation {
	readonly engines: ReservedEngines;
	readonly #send: (message: ReservationUpdate) => void;
	#isPrefillPending = true;
	#isHeld = true;

	constructor(engines: ReservedEngines, send: (message: ReservationUpdate) => void) {
		super();
		this.engines = engines;
		this.#send = send;
	}

	onPrefillEnd(outcome: EngineOutcome | undefined): void {
		if (this.#isPrefillPending) {
			this.#isPrefillPending = false;
			this.#send({kind: allocatorMessageKind.prefillEnd, outcome: selectRemoteOutcome(outcome)});
		}
	}

	onSilence(isSilent: boolean): void {
		if (this.#isHeld) {
			this.#send({kind: allocatorMessageKind.silence, isSilent});
		}
	}

	onPace(pace: StreamPace): void {
		if (this.#isHeld) {
			this.#send({kind: allocatorMessageKind.pace, pace});
		}
	}

	release(outcome: EngineOutcome | undefined): void {
		if (this.#isHeld) {
			this.#isHeld = false;
			this.#send({kind: allocatorMessageKind.release, outcome: selectRemoteOutcome(outcome)});
		}
	}
}

function createCancelledError(): Error {
	return new NotRunError('The request was cancelled while it waited for a reservation.', {props: {reason: refusalReason.deadline}});
}

/** Leaves out `unreachable`: an engine that this VM can't reach may still be reachable for other entries. */
function selectRemoteOutcome(outcome: EngineOutcome | undefined): EngineOutcome | undefined {
	return outcome === 'unreachable' ? undefined : outcome;
}

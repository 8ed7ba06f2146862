import {LineRefusal} from '../dispatch/index.js';
import type {EngineSign} from '../dispatch/index.js';
import {NotRunError, refusalReason} from '../errors/index.js';
import type {MessageLink, MessageNetwork} from '../peers/index.js';
import type {Timer, TimerService} from '../timers/index.js';
import {parseItems, allocatorMessageKind, toItems} from './messages.js';
import type {AllocatorMessage} from './messages.js';
import {Reservation} from './types.js';
import type {ReservedEngines, ReservationRequest} from './types.js';

/** Pause between two looks whether the keeper answers, in milliseconds. */
const checkIntervalMs = 75;
/** Looks between two pings while it is heard: a ping from each of many entries is dear where it arrives. */
const checksPerPing = 4;
/** Time without an answer to a ping after which the keeper is given up, in milliseconds. */
const pingTimeoutMs = 300;
/** Time of a ping's way there and back from which a keeper is too slow to ask, in milliseconds: more than a short target. */
const slowPingMs = 150;
/** Slow pings in a row after which it is given up. */
const slowPingLimit = 3;
/** How late a ping may leave before its time tells of this process rather than of the keeper, in milliseconds. */
const maxLocalLagMs = 15;

/** What a keeper's link tells. */
export type AllocatorEvents = {
	/** The keeper can't be asked any more. */
	readonly onLost: (reason: string) => void;
	/** An ask was answered; the part of such asks that got a place just before. */
	readonly onAnswer: (request: ReservationRequest, isGranted: boolean, grantRate: number) => void;
};

type PendingRequest = {
	readonly request: ReservationRequest;
	readonly resolve: (engines: ReservedEngines) => void;
	readonly reject: (error: Error) => void;
};

/** The keeper can't be asked; the places are found without it. */
export class AllocatorLostError extends Error {
	override readonly name = 'KeeperLostError';
}

/** Asks the keeper of another entry for places. */
export class RemoteAllocator {
	readonly #timers: TimerService;
	readonly #link: MessageLink;
	readonly #onLost: (reason: string) => void;
	readonly #onAnswer: AllocatorEvents['onAnswer'];
	readonly #pending = new Map<number, PendingRequest>();
	readonly #checkTimer: Timer;
	#nextId = 0;
	readonly #pings = new Map<number, number>();
	#consecutiveSlowPings = 0;
	#checks = 0;
	#lastReceivedAt: number;
	#checkDueAt: number;
	#isLagging = false;
	#isLost = false;

	constructor(timers: TimerService, network: MessageNetwork, address: string, {onLost, onAnswer}: AllocatorEvents) {
		this.#timers = timers;
		this.#onLost = onLost;
		this.#onAnswer = onAnswer;
		this.#checkDueAt = timers.getNow();
		this.#lastReceivedAt = timers.getNow();
		this.#link = network.open(address, {
			onMessage: items => {
				this.#onMessage(parseItems(items));
			},
			onClose: () => {
				this.#markLost('connection closed');
			},
		});
		this.#sendPing();
		this.#checkTimer = timers.startInterval(checkIntervalMs, () => {
			this.#checkAllocator();
		});
	}

	/** Asks for a place. Throws `NotRunError` when the request is refused, `AllocatorLostError` when nobody answers. */
	async acquire(request: ReservationRequest, signal: AbortSignal): Promise<RemoteReservation> {
		const id = this.#nextId++;
		const engines = await new Promise<ReservedEngines>((resolve, reject) => {
			if (this.#isLost) {
				reject(new AllocatorLostError('The keeper is lost.'));
				return;
			}

			this.#pending.set(id, {request, resolve, reject});
			this.#send({kind: allocatorMessageKind.request, id, request});
			signal.addEventListener('abort', () => {
				if (this.#pending.delete(id)) {
					this.#send({kind: allocatorMessageKind.cancel, id});
					reject(new NotRunError('Given up while waiting for a place.', {props: {reason: refusalReason.deadline}}));
				}
			}, {once: true});
		});
		return new RemoteReservation(engines, message => {
			this.#send({...message, id});
		});
	}

	/** Closes the connection. */
	close(): void {
		this.#markLost('closed');
	}

	#send(message: AllocatorMessage): void {
		this.#link.send(toItems(message));
	}

	/** Pings now and then, and at each look while it owes an answer and is not heard. */
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
		const isSilent = this.#pending.size > 0 && now - this.#lastReceivedAt >= checkIntervalMs;
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

	/** Takes in an answer; messages of the other direction say nothing here. */
	#onMessage(message: AllocatorMessage): void {
		this.#lastReceivedAt = this.#timers.getNow();
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
				this.#onAnswer(pending.request, false, message.grantRate);
				pending.reject(new LineRefusal(message.reason, message.retryAfterMs).toError());
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
		this.#link.close();
		const pending = [...this.#pending.values()];
		this.#pending.clear();
		for (const {reject} of pending) {
			reject(new AllocatorLostError(`The keeper is lost: ${reason}.`));
		}

		this.#onLost(reason);
	}
}

type ReservationUpdate = {readonly kind: typeof allocatorMessageKind.prefillEnd | typeof allocatorMessageKind.release; readonly outcome: EngineSign | undefined};

/** A place given by another entry's keeper. */
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

	onPrefillEnd(outcome: EngineSign | undefined): void {
		if (this.#isPrefillPending) {
			this.#isPrefillPending = false;
			this.#send({kind: allocatorMessageKind.prefillEnd, outcome: selectRemoteOutcome(outcome)});
		}
	}

	release(outcome: EngineSign | undefined): void {
		if (this.#isHeld) {
			this.#isHeld = false;
			this.#send({kind: allocatorMessageKind.release, outcome: selectRemoteOutcome(outcome)});
		}
	}
}

/** An engine that only this VM can't reach is no worse for others. */
function selectRemoteOutcome(outcome: EngineSign | undefined): EngineSign | undefined {
	return outcome === 'unreachable' ? undefined : outcome;
}

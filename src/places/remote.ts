import {QueueRefusal} from '../dispatch/index.js';
import type {EngineOutcome} from '../dispatch/index.js';
import {NotRunError, refusalReason} from '../errors/index.js';
import type {MessageLink, MessageNetwork} from '../peers/index.js';
import type {Timer, TimerService} from '../timers/index.js';
import {parseItems, placeMessageKind, toItems} from './messages.js';
import type {PlaceMessage} from './messages.js';
import {HeldPlace} from './types.js';
import type {GrantedEngines, PlaceAsk} from './types.js';

/** Pause between two looks whether the keeper answers, in milliseconds. */
const pingMs = 75;
/** Looks between two pings while it is heard: a ping from each of many entries is dear where it arrives. */
const looksPerPing = 4;
/** Time without an answer to a ping after which the keeper is given up, in milliseconds. */
const silentMs = 300;
/** Time of a ping's way there and back from which a keeper is too slow to ask, in milliseconds: more than a short target. */
const slowMs = 150;
/** Slow pings in a row after which it is given up. */
const toleratedSlow = 3;
/** How late a ping may leave before its time tells of this process rather than of the keeper, in milliseconds. */
const ownLagMs = 15;

/** What a keeper's link tells. */
export type KeeperEvents = {
	/** The keeper can't be asked any more. */
	readonly onLost: (reason: string) => void;
	/** An ask was answered; the part of such asks that got a place just before. */
	readonly onAnswer: (ask: PlaceAsk, isGiven: boolean, givenPart: number) => void;
};

type Asked = {
	readonly place: PlaceAsk;
	readonly resolve: (engines: GrantedEngines) => void;
	readonly reject: (error: Error) => void;
};

/** The keeper can't be asked; the places are found without it. */
export class KeeperLostError extends Error {
	override readonly name = 'KeeperLostError';
}

/** Asks the keeper of another entry for places. */
export class RemoteKeeper {
	readonly #timers: TimerService;
	readonly #link: MessageLink;
	readonly #onLost: (reason: string) => void;
	readonly #onAnswer: KeeperEvents['onAnswer'];
	readonly #asked = new Map<number, Asked>();
	readonly #pinger: Timer;
	#number = 0;
	readonly #pings = new Map<number, number>();
	#slowInRow = 0;
	#looks = 0;
	#heardAt: number;
	#pingDueAt: number;
	#isLagging = false;
	#isLost = false;

	constructor(timers: TimerService, network: MessageNetwork, address: string, {onLost, onAnswer}: KeeperEvents) {
		this.#timers = timers;
		this.#onLost = onLost;
		this.#onAnswer = onAnswer;
		this.#pingDueAt = timers.getNow();
		this.#heardAt = timers.getNow();
		this.#link = network.open(address, {
			onMessage: items => {
				this.#onMessage(parseItems(items));
			},
			onClose: () => {
				this.#markLost('connection closed');
			},
		});
		this.#sendPing();
		this.#pinger = timers.startInterval(pingMs, () => {
			this.#checkKeeper();
		});
	}

	/** Asks for a place. Throws `NotRunError` when the request is refused, `KeeperLostError` when nobody answers. */
	async acquire(ask: PlaceAsk, signal: AbortSignal): Promise<RemotePlace> {
		const number = this.#number++;
		const engines = await new Promise<GrantedEngines>((resolve, reject) => {
			if (this.#isLost) {
				reject(new KeeperLostError('The keeper is lost.'));
				return;
			}

			this.#asked.set(number, {place: ask, resolve, reject});
			this.#send({kind: placeMessageKind.ask, ask: number, place: ask});
			signal.addEventListener('abort', () => {
				if (this.#asked.delete(number)) {
					this.#send({kind: placeMessageKind.cancel, ask: number});
					reject(new NotRunError('Given up while waiting for a place.', {props: {reason: refusalReason.deadline}}));
				}
			}, {once: true});
		});
		return new RemotePlace(engines, message => {
			this.#send({...message, ask: number});
		});
	}

	/** Closes the connection. */
	close(): void {
		this.#markLost('closed');
	}

	#send(message: PlaceMessage): void {
		this.#link.send(toItems(message));
	}

	/** Pings now and then, and at each look while it owes an answer and is not heard. */
	#checkKeeper(): void {
		const now = this.#timers.getNow();
		this.#isLagging = now - this.#pingDueAt > ownLagMs;
		this.#pingDueAt = now + pingMs;
		const [oldest] = this.#pings.values();
		if (oldest !== undefined && !this.#isLagging && now - oldest > silentMs) {
			this.#markLost('silent');
			return;
		}

		this.#looks++;
		const isQuiet = this.#asked.size > 0 && now - this.#heardAt >= pingMs;
		if (isQuiet || this.#looks % looksPerPing === 0) {
			this.#sendPing();
		}
	}

	#sendPing(): void {
		const now = this.#timers.getNow();
		const number = this.#number++;
		this.#pings.set(number, now);
		this.#send({kind: placeMessageKind.ping, ask: number});
	}

	/** Takes in an answer; messages of the other direction say nothing here. */
	#onMessage(message: PlaceMessage): void {
		this.#heardAt = this.#timers.getNow();
		if (message.kind === placeMessageKind.pong) {
			this.#onPong(message.ask);
			return;
		}

		const asked = this.#asked.get(message.ask);
		if (message.kind === placeMessageKind.grant) {
			this.#asked.delete(message.ask);
			if (asked) {
				this.#onAnswer(asked.place, true, message.givenPart);
				asked.resolve(message.engines);
			}
		} else if (message.kind === placeMessageKind.refuse) {
			this.#asked.delete(message.ask);
			if (asked) {
				this.#onAnswer(asked.place, false, message.givenPart);
				asked.reject(new QueueRefusal(message.reason, message.retryAfterMs).toError());
			}
		}
	}

	#onPong(number: number): void {
		const sentAt = this.#pings.get(number);
		this.#pings.delete(number);
		if (sentAt === undefined) {
			return;
		}

		this.#slowInRow = !this.#isLagging && this.#timers.getNow() - sentAt > slowMs ? this.#slowInRow + 1 : 0;
		if (this.#slowInRow >= toleratedSlow) {
			this.#markLost('slow');
		}
	}

	#markLost(reason: string): void {
		if (this.#isLost) {
			return;
		}

		this.#isLost = true;
		this.#pinger.cancel();
		this.#link.close();
		const asked = [...this.#asked.values()];
		this.#asked.clear();
		for (const {reject} of asked) {
			reject(new KeeperLostError(`The keeper is lost: ${reason}.`));
		}

		this.#onLost(reason);
	}
}

type Told = {readonly kind: typeof placeMessageKind.read | typeof placeMessageKind.release; readonly sign: EngineOutcome | undefined};

/** A place given by another entry's keeper. */
export class RemotePlace extends HeldPlace {
	readonly engines: GrantedEngines;
	readonly #tell: (message: Told) => void;
	#isReading = true;
	#isHeld = true;

	constructor(engines: GrantedEngines, tell: (message: Told) => void) {
		super();
		this.engines = engines;
		this.#tell = tell;
	}

	onRead(sign: EngineOutcome | undefined): void {
		if (this.#isReading) {
			this.#isReading = false;
			this.#tell({kind: placeMessageKind.read, sign: selectShared(sign)});
		}
	}

	release(sign: EngineOutcome | undefined): void {
		if (this.#isHeld) {
			this.#isHeld = false;
			this.#tell({kind: placeMessageKind.release, sign: selectShared(sign)});
		}
	}
}

/** An engine that only this VM can't reach is no worse for others. */
function selectShared(sign: EngineOutcome | undefined): EngineOutcome | undefined {
	return sign === 'unreachable' ? undefined : sign;
}

import type {EngineSign} from '../dispatch/index.js';
import {NotRunError, refusalReason} from '../errors/index.js';
import type {RefusalReason} from '../errors/index.js';
import type {MessageLink, MessageNetwork} from '../peers/index.js';
import type {Timer, TimerService} from '../timers/index.js';
import {parseItems, placeMessageKind, toItems} from './messages.js';
import type {PlaceMessage} from './messages.js';
import {HeldPlace} from './types.js';
import type {GrantedEngines, PlaceAsk} from './types.js';

/** Pause between two pings, in milliseconds. */
const pingMs = 75;
/** Time without an answer to a ping after which the keeper is given up, in milliseconds. */
const silentMs = 300;
/** Time of a ping's way there and back from which a keeper is too slow to ask, in milliseconds: more than a short target. */
const slowMs = 150;
/** Slow pings in a row after which it is given up. */
const toleratedSlow = 5;
/** How late a ping may leave before its time tells of this process rather than of the keeper, in milliseconds. */
const ownLagMs = 15;

type Asked = {
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
	readonly #asked = new Map<number, Asked>();
	readonly #pinger: Timer;
	#number = 0;
	readonly #pings = new Map<number, number>();
	#slowInRow = 0;
	#pingDueAt: number;
	#isLagging = false;
	#isLost = false;

	constructor(timers: TimerService, network: MessageNetwork, address: string, onLost: (reason: string) => void) {
		this.#timers = timers;
		this.#onLost = onLost;
		this.#pingDueAt = timers.getNow();
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
			this.#sendPing();
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

			this.#asked.set(number, {resolve, reject});
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

	#sendPing(): void {
		const now = this.#timers.getNow();
		this.#isLagging = now - this.#pingDueAt > ownLagMs;
		this.#pingDueAt = now + pingMs;
		const [oldest] = this.#pings.values();
		if (oldest !== undefined && !this.#isLagging && now - oldest > silentMs) {
			this.#markLost('silent');
			return;
		}

		const number = this.#number++;
		this.#pings.set(number, now);
		this.#send({kind: placeMessageKind.ping, ask: number});
	}

	/** Takes in an answer; messages of the other direction say nothing here. */
	#onMessage(message: PlaceMessage): void {
		if (message.kind === placeMessageKind.pong) {
			this.#onPong(message.ask);
			return;
		}

		const asked = this.#asked.get(message.ask);
		if (message.kind === placeMessageKind.grant) {
			this.#asked.delete(message.ask);
			asked?.resolve(message.engines);
		} else if (message.kind === placeMessageKind.refuse) {
			this.#asked.delete(message.ask);
			asked?.reject(createRefusal(message.reason, message.retryAfterMs));
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

function createRefusal(reason: RefusalReason, retryAfterMs: number): Error {
	return new NotRunError('No engine has a place in time.', {props: {reason, retryAfterMs}});
}

type Told = {readonly kind: typeof placeMessageKind.read | typeof placeMessageKind.release; readonly sign: EngineSign | undefined};

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

	onRead(sign: EngineSign | undefined): void {
		if (this.#isReading) {
			this.#isReading = false;
			this.#tell({kind: placeMessageKind.read, sign: selectShared(sign)});
		}
	}

	release(sign: EngineSign | undefined): void {
		if (this.#isHeld) {
			this.#isHeld = false;
			this.#tell({kind: placeMessageKind.release, sign: selectShared(sign)});
		}
	}
}

/** An engine that only this VM can't reach is no worse for others. */
function selectShared(sign: EngineSign | undefined): EngineSign | undefined {
	return sign === 'unreachable' ? undefined : sign;
}

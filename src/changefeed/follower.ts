import type {MessageLink, MessageNetwork} from '../peers/index.js';
import {measureElapsedMs, readClocks} from '../timers/index.js';
import type {ClockReading, Timer, TimerService} from '../timers/index.js';
import type {ContactSpan} from './contact.js';
import {
	feedMessageKind, isFeedMessage, parseFeedItems, toFeedItems,
} from './messages.js';
import type {FeedMessage} from './messages.js';
import type {ChangeBatch, StoreChange, StorePosition} from './types.js';

/** Silence of the reader after which this entry reads the store itself, in milliseconds. */
const maxSilenceMs = 1000;
/** Maximum age of the reader's last answer from the store, in milliseconds; its own limit and the time of a message. */
const maxAgeMs = 2200;
/** Time for which a reader that was lost or refused is not asked again, in milliseconds. */
const backoffMs = 3000;
/** Maximum number of unanswered queries whose times are kept: those of several seconds. */
const maxQueries = 16;

/** What a reader told of the store. */
export type FollowedChanges = {
	readonly changes: readonly StoreChange[];
	readonly position: StorePosition;
	/** When the store answered the reader; `undefined` before the first message. */
	readonly contact: ContactSpan | undefined;
	/** Address of the reader. */
	readonly address: string;
	/** Age of the state after these changes, in milliseconds: it was the store's newest then. `undefined` when that is not known anew. */
	readonly knownAgeMs: number | undefined;
};

export type ChangeFollowerDependencies = {
	readonly timers: TimerService;
	readonly network: MessageNetwork;
	/** Lists the addresses of the entries that may read the store for this one, the preferred one first; none when this one reads it by itself. */
	readonly listReaders: () => readonly string[];
	/** Interval at which a reader is asked how old the state is that it told, in milliseconds; `undefined` where that is not needed. */
	readonly confirmIntervalMs?: number;
	/** Whether the age is needed now. Default: always. */
	readonly isAgeNeeded?: () => boolean;
	/** Called with `followed`, or with the reason why a reader is no longer followed. */
	readonly onReaderChange: (address: string, change: string) => void;
};

type Connection = {
	readonly address: string;
	readonly link: MessageLink;
	/** Position up to which changes were received. */
	position: StorePosition;
	changes: StoreChange[];
	heardAt: number;
	/** Monotonic time of the store's last answer to the reader, in milliseconds, and that since which it has been answering. */
	answeredAt: number;
	answeringSince: number;
	hasAnswer: boolean;
	/** When each unanswered query for the age of the state was sent, by its number. */
	readonly queries: Map<number, ClockReading>;
	queryCount: number;
	queryTimer: Timer | undefined;
	/** The age that the reader told, counted from the time at which it was asked: its answer may have been held up on the way. */
	confirmation: {readonly askedAt: ClockReading; readonly ageMs: number} | undefined;
	/** Why the connection is of no more use. */
	lostReason: string | undefined;
	wake: () => void;
};

/**
Follows the changes of the store at another entry instead of watching the store. A reader that is silent, cut off from the
store, or behind is left at once, for another reader or the store itself; nothing is taken from it that does not continue what is known here.
*/
export class ChangeFollower {
	readonly #dependencies: ChangeFollowerDependencies;
	#connection: Connection | undefined;
	/** Monotonic times until which readers are not asked again, in milliseconds, by address. */
	readonly #backoffs = new Map<string, number>();

	constructor(dependencies: ChangeFollowerDependencies) {
		this.#dependencies = dependencies;
	}

	/** Waits up to `waitMs` for changes after `position`, or until `signal` aborts. Returns `undefined` when there are none to be had from a reader now: the store, or the next reader, is to be asked. */
	async watch(position: StorePosition, waitMs: number, signal?: AbortSignal): Promise<FollowedChanges | undefined> {
		const {timers, listReaders} = this.#dependencies;
		const readers = listReaders();
		if (this.#connection && !(readers.includes(this.#connection.address) && isSame(this.#connection.position, position, this.#connection.changes))) {
			this.#closeConnection('another reader or position');
		}

		const address = this.#connection?.address ?? readers.find(reader => timers.getNow() >= (this.#backoffs.get(reader) ?? Number.NEGATIVE_INFINITY));
		if (address === undefined) {
			return undefined;
		}

		const connection = this.#connection ?? this.#open(address, position);
		if (connection.changes.length === 0 && connection.lostReason === undefined && !connection.confirmation) {
			await this.#waitForChanges(connection, waitMs, signal);
		}

		const lostReason = connection.lostReason ?? this.#findFault(connection);
		if (lostReason !== undefined) {
			this.#closeConnection(lostReason);
			this.#skip(address);
			return undefined;
		}

		const {
			changes, answeringSince, answeredAt, hasAnswer, confirmation,
		} = connection;
		connection.changes = [];
		connection.confirmation = undefined;
		return {
			changes, position: connection.position, contact: hasAnswer ? {since: answeringSince, until: answeredAt} : undefined, address,
			knownAgeMs: confirmation && confirmation.ageMs + Math.max(0, measureElapsedMs(timers, confirmation.askedAt)),
		};
	}

	/** Closes the connection to the reader. */
	stop(): void {
		this.#closeConnection('stopped');
	}

	/** Does not ask a reader again for a time. */
	#skip(address: string): void {
		const now = this.#dependencies.timers.getNow();
		for (const [other, until] of this.#backoffs) {
			if (until <= now) {
				this.#backoffs.delete(other);
			}
		}

		this.#backoffs.set(address, now + backoffMs);
	}

	async #waitForChanges(connection: Connection, waitMs: number, signal?: AbortSignal): Promise<void> {
		const {timers} = this.#dependencies;
		const controller = new AbortController();
		const stopWaiting = () => {
			controller.abort();
		};

		connection.wake = stopWaiting;
		signal?.addEventListener('abort', stopWaiting);
		if (signal?.aborted) {
			stopWaiting();
		}

		await timers.sleep(Math.min(waitMs, maxSilenceMs), controller.signal);
		signal?.removeEventListener('abort', stopWaiting);
	}

	/** Finds why the reader must not be relied upon now. */
	#findFault({heardAt, answeredAt, hasAnswer}: Connection): string | undefined {
		const now = this.#dependencies.timers.getNow();
		if (now - heardAt >= maxSilenceMs) {
			return 'silent';
		}

		return hasAnswer && now - answeredAt > maxAgeMs ? 'its store is silent' : undefined;
	}

	#open(address: string, position: StorePosition): Connection {
		const {
			timers, network, onReaderChange, confirmIntervalMs,
		} = this.#dependencies;
		const now = timers.getNow();
		const connection: Connection = {
			address,
			link: network.open(address, {
				onMessage: items => {
					// The other end's slot allocator tells each connection what it knows.
					if (isFeedMessage(items)) {
						this.#onMessage(connection, parseFeedItems(items));
					}
				},
				onClose() {
					connection.lostReason ??= 'connection closed';
					connection.wake();
				},
			}),
			position,
			changes: [],
			heardAt: now,
			answeredAt: now,
			answeringSince: now,
			hasAnswer: false,
			queries: new Map(),
			queryCount: 0,
			queryTimer: undefined,
			confirmation: undefined,
			lostReason: undefined,
			wake: () => undefined,
		};
		this.#connection = connection;
		connection.link.send(toFeedItems({kind: feedMessageKind.follow, position}));
		onReaderChange(address, 'followed');
		if (confirmIntervalMs !== undefined) {
			this.#askForAge(connection);
			connection.queryTimer = timers.startInterval(confirmIntervalMs, () => {
				this.#askForAge(connection);
			});
		}

		return connection;
	}

	#askForAge(connection: Connection): void {
		if (this.#dependencies.isAgeNeeded?.() === false) {
			return;
		}

		connection.queryCount++;
		connection.queries.set(connection.queryCount, readClocks(this.#dependencies.timers));
		if (connection.queries.size > maxQueries) {
			connection.queries.delete(connection.queryCount - maxQueries);
		}

		connection.link.send(toFeedItems({kind: feedMessageKind.confirm, number: connection.queryCount}));
	}

	/** Handles the age that the reader told; what it told before on this connection is part of that state. */
	#onConfirmed(connection: Connection, {number, position, ageMs}: Extract<FeedMessage, {readonly kind: typeof feedMessageKind.confirmed}>): void {
		const askedAt = connection.queries.get(number);
		connection.queries.delete(number);
		this.#onBatch(connection, {from: connection.position, to: position, changes: []});
		if (askedAt && connection.lostReason === undefined) {
			connection.confirmation = {askedAt, ageMs};
			connection.wake();
		}
	}

	/** Handles a message from the reader; ignores the kinds that are no news of the store. */
	#onMessage(connection: Connection, message: FeedMessage): void {
		const now = this.#dependencies.timers.getNow();
		connection.heardAt = now;
		if (message.kind === feedMessageKind.refuse) {
			connection.lostReason ??= 'refused';
			connection.wake();
			return;
		}

		if (message.kind === feedMessageKind.confirmed) {
			this.#onConfirmed(connection, message);
			return;
		}

		if (message.kind !== feedMessageKind.alive && message.kind !== feedMessageKind.batch) {
			return;
		}

		const isAlive = message.kind === feedMessageKind.alive;
		connection.answeredAt = isAlive ? now - message.ageMs : now;
		connection.answeringSince = connection.answeredAt - message.answeringMs;
		connection.hasAnswer = true;
		this.#onBatch(connection, isAlive ? {from: connection.position, to: message.position, changes: []} : message.batch);
		if (!isAlive) {
			connection.wake();
		}
	}

	#onBatch(connection: Connection, {from, to, changes}: ChangeBatch): void {
		const {position} = connection;
		if (to.era !== position.era || from.revision > position.revision) {
			connection.lostReason ??= 'its changes have a gap';
			connection.wake();
			return;
		}

		connection.changes.push(...changes.filter(({revision}) => revision > position.revision));
		connection.position = {revision: Math.max(position.revision, to.revision), era: position.era};
	}

	#closeConnection(reason: string): void {
		const connection = this.#connection;
		if (connection) {
			this.#connection = undefined;
			connection.queryTimer?.cancel();
			connection.link.close();
			this.#dependencies.onReaderChange(connection.address, reason);
		}
	}
}

/** Tells whether what was received continues `position`: nothing was received since it, or it is still to be taken. */
function isSame(received: StorePosition, position: StorePosition, changes: readonly StoreChange[]): boolean {
	return received.era === position.era && (changes.length > 0 || received.revision >= position.revision);
}

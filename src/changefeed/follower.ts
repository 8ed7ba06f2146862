import type {MessageLink, MessageNetwork} from '../peers/index.js';
import type {TimerService} from '../timers/index.js';
import {feedMessageKind, parseFeedItems, toFeedItems} from './messages.js';
import type {FeedMessage} from './messages.js';
import type {ChangeBatch, StoreChange, StorePosition} from './types.js';

/** Silence of the reader after which this entry reads the store itself, in milliseconds. */
const maxSilenceMs = 1000;
/** Maximum age of the reader's last answer from the store, in milliseconds; its own limit and the time of a message. */
const maxAgeMs = 2000;
/** Time for which a reader that was lost or refused is not asked again, in milliseconds. */
const backoffMs = 3000;

/** What a reader told of the store. */
export type FollowedChanges = {
	readonly changes: readonly StoreChange[];
	readonly position: StorePosition;
	/** Age of the store's last answer to the reader, in milliseconds. */
	readonly ageMs: number;
	/** Address of the reader. */
	readonly address: string;
};

export type ChangeFollowerDependencies = {
	readonly timers: TimerService;
	readonly network: MessageNetwork;
	/** Returns the address of the entry that reads the store for this one; `undefined` when this one reads it by itself. */
	readonly getReader: () => string | undefined;
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
	/** Monotonic time of the store's last answer to the reader, in milliseconds. */
	answeredAt: number;
	hasAnswer: boolean;
	/** Why the connection is of no more use. */
	lostReason: string | undefined;
	wake: () => void;
};

/**
Follows the changes of the store at another entry instead of watching the store. A reader that is silent, cut off from the
store, or behind is left at once for the store itself; nothing is taken from it that does not continue what is known here.
*/
export class ChangeFollower {
	readonly #dependencies: ChangeFollowerDependencies;
	#connection: Connection | undefined;
	#backoffUntil = Number.NEGATIVE_INFINITY;

	constructor(dependencies: ChangeFollowerDependencies) {
		this.#dependencies = dependencies;
	}

	/** Waits up to `waitMs` for changes after `position`. Returns `undefined` when the store has to be watched instead. */
	async watch(position: StorePosition, waitMs: number): Promise<FollowedChanges | undefined> {
		const {timers, getReader} = this.#dependencies;
		const address = getReader();
		if (this.#connection && (this.#connection.address !== address || !isSame(this.#connection.position, position, this.#connection.changes))) {
			this.#closeConnection('another reader or position');
		}

		if (address === undefined || timers.getNow() < this.#backoffUntil) {
			return undefined;
		}

		const connection = this.#connection ?? this.#open(address, position);
		if (connection.changes.length === 0 && connection.lostReason === undefined) {
			await this.#waitForChanges(connection, waitMs);
		}

		const lostReason = connection.lostReason ?? this.#findFault(connection);
		if (lostReason !== undefined) {
			this.#closeConnection(lostReason);
			this.#backoffUntil = timers.getNow() + backoffMs;
			return undefined;
		}

		const {changes} = connection;
		connection.changes = [];
		return {
			changes, position: connection.position, ageMs: timers.getNow() - connection.answeredAt, address,
		};
	}

	/** Closes the connection to the reader. */
	stop(): void {
		this.#closeConnection('stopped');
	}

	async #waitForChanges(connection: Connection, waitMs: number): Promise<void> {
		const {timers} = this.#dependencies;
		const controller = new AbortController();
		connection.wake = () => {
			controller.abort();
		};

		await timers.sleep(Math.min(waitMs, maxSilenceMs), controller.signal);
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
		const {timers, network, onReaderChange} = this.#dependencies;
		const now = timers.getNow();
		const connection: Connection = {
			address,
			link: network.open(address, {
				onMessage: items => {
					this.#onMessage(connection, parseFeedItems(items));
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
			hasAnswer: false,
			lostReason: undefined,
			wake: () => undefined,
		};
		this.#connection = connection;
		connection.link.send(toFeedItems({kind: feedMessageKind.follow, position}));
		onReaderChange(address, 'followed');
		return connection;
	}

	/** Handles a message from the reader; ignores the kind that is only sent to a reader. */
	#onMessage(connection: Connection, message: FeedMessage): void {
		const now = this.#dependencies.timers.getNow();
		connection.heardAt = now;
		if (message.kind === feedMessageKind.refuse) {
			connection.lostReason ??= 'refused';
			connection.wake();
			return;
		}

		if (message.kind === feedMessageKind.follow) {
			return;
		}

		const isAlive = message.kind === feedMessageKind.alive;
		connection.hasAnswer = true;
		connection.answeredAt = isAlive ? now - message.ageMs : now;
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
			connection.link.close();
			this.#dependencies.onReaderChange(connection.address, reason);
		}
	}
}

/** Tells whether what was received continues `position`: nothing was received since it, or it is still to be taken. */
function isSame(received: StorePosition, position: StorePosition, changes: readonly StoreChange[]): boolean {
	return received.era === position.era && (changes.length > 0 || received.revision >= position.revision);
}

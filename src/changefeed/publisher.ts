import type {MessageHandlers, MessageLink} from '../peers/index.js';
import type {Timer, TimerService} from '../timers/index.js';
import {createConfigurationAnswer} from './configurations.js';
import type {HeldConfiguration} from './configurations.js';
import {feedMessageKind, parseFeedItems, toFeedItems} from './messages.js';
import type {FeedMessage} from './messages.js';
import type {ContactSpan} from './contact.js';
import type {ChangeBatch, StorePosition} from './types.js';

/** Interval at which followers are told that there is nothing new, in milliseconds: several fit into the silence after which they read the store themselves. */
const aliveIntervalMs = 300;
/** Maximum age of the store's last answer at which others are served, in milliseconds: a watch without changes, a pause and a slow answer. */
const maxServedAgeMs = 2000;
/** Number of batches that are kept for entries that begin to follow from an earlier position. */
const maxBatches = 64;
/** Maximum size of the values of a batch that is passed on, in characters; larger ones are read from the store by each. */
const maxBatchLength = 40_000;

/** Passes on the changes of the store that this entry has read to entries that follow it. */
export class ChangePublisher {
	readonly #timers: TimerService;
	readonly #getContact: () => ContactSpan | undefined;
	readonly #computeKnowledgeAgeMs: () => number;
	readonly #getConfiguration: () => HeldConfiguration | undefined;
	readonly #followers = new Set<MessageLink>();
	readonly #batches: ChangeBatch[] = [];
	#position: StorePosition | undefined;
	#answeredAt = Number.NEGATIVE_INFINITY;
	#timer: Timer | undefined;

	/**
	`getContact` returns the time in which the store has been answering, as far as this entry knows; `computeKnowledgeAgeMs` the age of the state
	that was published last, infinite if it is not known; `getConfiguration` the configuration in force here.
	*/
	constructor(
		timers: TimerService,
		getContact: () => ContactSpan | undefined,
		computeKnowledgeAgeMs: () => number = () => Number.POSITIVE_INFINITY,
		getConfiguration: () => HeldConfiguration | undefined = () => undefined,
	) {
		this.#timers = timers;
		this.#getContact = getContact;
		this.#computeKnowledgeAgeMs = computeKnowledgeAgeMs;
		this.#getConfiguration = getConfiguration;
	}

	/** Number of entries that follow this one. */
	get followerCount(): number {
		return this.#followers.size;
	}

	/** Records what this entry has read from the store, and passes it on. */
	publish(batch: ChangeBatch): void {
		const isContinuous = this.#position?.era === batch.from.era && this.#position?.revision === batch.from.revision;
		if (!isContinuous) {
			this.reset();
		}

		this.#position = batch.to;
		this.#answeredAt = this.#timers.getNow();
		if (batch.changes.length === 0) {
			return;
		}

		let length = 0;
		for (const {key, value = ''} of batch.changes) {
			length += key.length + value.length;
		}

		if (length > maxBatchLength) {
			this.reset();
			this.#position = batch.to;
			return;
		}

		this.#batches.push(batch);
		this.#batches.splice(0, this.#batches.length - maxBatches);
		for (const follower of this.#followers) {
			follower.send(toFeedItems({kind: feedMessageKind.batch, batch, answeringMs: this.#computeAnsweringMs()}));
		}
	}

	/** Refuses all followers, since this entry no longer reads the store for them, or what it read has a gap. */
	reset(): void {
		for (const follower of this.#followers) {
			this.#refuse(follower);
		}

		this.#batches.length = 0;
		this.#position = undefined;
	}

	/** Serves an entry that may ask to follow this one. */
	serve(link: MessageLink): MessageHandlers {
		return {
			onMessage: items => {
				const message = parseFeedItems(items);
				if (message.kind === feedMessageKind.follow) {
					this.#onFollow(link, message.position);
					return;
				}

				if (message.kind === feedMessageKind.ask) {
					link.send(toFeedItems(this.#createContactMessage()));
				}

				if (message.kind === feedMessageKind.askConfiguration) {
					link.send(toFeedItems(createConfigurationAnswer(this.#getConfiguration(), message.version)));
				}

				if (message.kind === feedMessageKind.confirm) {
					this.#onConfirm(link, message.number);
				}
			},
			onClose: () => {
				this.#followers.delete(link);
			},
		};
	}

	/** Stops telling followers that there is nothing new. */
	stop(): void {
		this.#timer?.cancel();
	}

	#onFollow(link: MessageLink, position: StorePosition): void {
		const current = this.#position;
		const earliest = this.#batches[0]?.from.revision ?? current?.revision;
		const isServed = current !== undefined && earliest !== undefined && current.era === position.era && position.revision >= earliest && this.#computeAgeMs() <= maxServedAgeMs;
		if (!isServed) {
			this.#refuse(link);
			return;
		}

		for (const batch of this.#batches.filter(({to}) => to.revision > position.revision)) {
			link.send(toFeedItems({kind: feedMessageKind.batch, batch, answeringMs: 0}));
		}

		this.#followers.add(link);
		this.#sendAlive(link, current);
		this.#timer ??= this.#timers.startInterval(aliveIntervalMs, () => {
			this.#sendAliveToAll();
		});
	}

	/** Tells a follower how old the state is that it has been sent. */
	#onConfirm(link: MessageLink, number: number): void {
		const ageMs = this.#computeKnowledgeAgeMs();
		if (this.#position && this.#followers.has(link) && Number.isFinite(ageMs)) {
			link.send(toFeedItems({
				kind: feedMessageKind.confirmed, position: this.#position, number, ageMs,
			}));
		}
	}

	#sendAliveToAll(): void {
		const position = this.#position;
		if (!position || this.#computeAgeMs() > maxServedAgeMs) {
			this.reset();
			return;
		}

		for (const follower of this.#followers) {
			this.#sendAlive(follower, position);
		}
	}

	#sendAlive(link: MessageLink, position: StorePosition): void {
		link.send(toFeedItems({
			kind: feedMessageKind.alive, position, ageMs: this.#computeAgeMs(), answeringMs: this.#computeAnsweringMs(),
		}));
	}

	/** Computes for how long the store had been answering at its last answer here, in milliseconds. */
	#computeAnsweringMs(): number {
		return Math.max(0, this.#answeredAt - (this.#getContact()?.since ?? this.#answeredAt));
	}

	#createContactMessage(): FeedMessage {
		const span = this.#getContact();
		return span ? {kind: feedMessageKind.contact, ageMs: Math.max(0, this.#timers.getNow() - span.until), answeringMs: span.until - span.since} : {kind: feedMessageKind.refuse};
	}

	#refuse(link: MessageLink): void {
		this.#followers.delete(link);
		link.send(toFeedItems({kind: feedMessageKind.refuse}));
	}

	#computeAgeMs(): number {
		return this.#timers.getNow() - this.#answeredAt;
	}
}

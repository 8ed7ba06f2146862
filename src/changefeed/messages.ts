import {BadFrameError} from '../errors/index.js';
import type {ChangeBatch, StoreChange, StorePosition} from './types.js';

/** Number of each kind of message on the wire, where it is the first item; they differ from those of slot allocators, which use the same connections' port. */
export const feedMessageKind = {
	follow: 40, batch: 41, alive: 42, refuse: 43, ask: 44, contact: 45, confirm: 46, confirmed: 47, askConfiguration: 48, configuration: 49,
} as const;

/** A message between an entry that reads the store and one that follows it. */
export type FeedMessage =
	/** Asks for all changes after a position. */
	| {readonly kind: typeof feedMessageKind.follow; readonly position: StorePosition}
	/** Changes that the store has just answered, or an earlier answer; it had been answering for `answeringMs` then. */
	| {readonly kind: typeof feedMessageKind.batch; readonly batch: ChangeBatch; readonly answeringMs: number}
	/** No further change up to a position; the store's last answer is `ageMs` old, and it had been answering for `answeringMs` then. */
	| {readonly kind: typeof feedMessageKind.alive; readonly position: StorePosition; readonly ageMs: number; readonly answeringMs: number}
	/** The changes can't be had here. */
	| {readonly kind: typeof feedMessageKind.refuse}
	/** Asks when the store answered. */
	| {readonly kind: typeof feedMessageKind.ask}
	/** When the store answered, as far as the sender knows: as in `alive`. */
	| {readonly kind: typeof feedMessageKind.contact; readonly ageMs: number; readonly answeringMs: number}
	/** Asks how old the knowledge of the changes up to the answer's position is. */
	| {readonly kind: typeof feedMessageKind.confirm; readonly number: number}
	/** No further change up to a position, which was the store's newest state `ageMs` before; `number` is that of the query. */
	| {readonly kind: typeof feedMessageKind.confirmed; readonly number: number; readonly position: StorePosition; readonly ageMs: number}
	/** Asks for the configuration in force there, if it is later than `version`. */
	| {readonly kind: typeof feedMessageKind.askConfiguration; readonly version: number}
	/** Version of the configuration in force, `noVersion` without one; `text` is empty when it is not later than that asked for, or too large for a message. */
	| {readonly kind: typeof feedMessageKind.configuration; readonly version: number; readonly text: string};

/** Stands for the version of a configuration where there is none. */
export const noVersion = -1;
/** Stands for a store that reports no eras. */
const noEra = -1;

/** Tells whether received items are a message of this kind of feed. */
export function isFeedMessage(items: unknown): boolean {
	return Array.isArray(items) && typeof items[0] === 'number' && items[0] >= feedMessageKind.follow && items[0] <= feedMessageKind.configuration;
}

/** Converts a message into the list of items that is sent. */
export function toFeedItems(message: FeedMessage): unknown[] {
	switch (message.kind) {
		case feedMessageKind.follow: {
			return [message.kind, ...toPositionItems(message.position)];
		}

		case feedMessageKind.batch: {
			const {from, to, changes} = message.batch;
			return [message.kind, ...toPositionItems(to), from.revision, changes.map(({key, value, revision}) => [key, value ?? null, revision]), Math.round(message.answeringMs)];
		}

		case feedMessageKind.alive: {
			return [message.kind, ...toPositionItems(message.position), Math.round(message.ageMs), Math.round(message.answeringMs)];
		}

		case feedMessageKind.refuse:
		case feedMessageKind.ask: {
			return [message.kind];
		}

		case feedMessageKind.contact: {
			return [message.kind, Math.round(message.ageMs), Math.round(message.answeringMs)];
		}

		case feedMessageKind.confirm: {
			return [message.kind, message.number];
		}

		case feedMessageKind.confirmed: {
			return [message.kind, ...toPositionItems(message.position), message.number, Math.ceil(message.ageMs)];
		}

		case feedMessageKind.askConfiguration: {
			return [message.kind, message.version];
		}

		case feedMessageKind.configuration: {
			return [message.kind, message.version, message.text];
		}
	}
}

/** Parses a received list of items. Throws `BadFrameError` when it is not a message. */
export function parseFeedItems(items: unknown): FeedMessage {
	if (!Array.isArray(items)) {
		throw new BadFrameError('feed message is not a list');
	}

	const [kind, ...rest] = items as unknown[];
	switch (kind) {
		case feedMessageKind.follow: {
			return {kind, position: parsePosition(rest)};
		}

		case feedMessageKind.batch: {
			const to = parsePosition(rest);
			return {kind, batch: {to, from: {revision: parseNumber(rest[2]), era: to.era}, changes: parseChanges(rest[3])}, answeringMs: parseAnsweringMs(rest[4])};
		}

		case feedMessageKind.alive: {
			return {
				kind, position: parsePosition(rest), ageMs: parseDuration(rest[2]), answeringMs: parseAnsweringMs(rest[3]),
			};
		}

		case feedMessageKind.refuse:
		case feedMessageKind.ask: {
			return {kind};
		}

		case feedMessageKind.contact: {
			return {kind, ageMs: parseDuration(rest[0]), answeringMs: parseDuration(rest[1])};
		}

		case feedMessageKind.confirm: {
			return {kind, number: parseNumber(rest[0])};
		}

		case feedMessageKind.confirmed: {
			return {
				kind, position: parsePosition(rest), number: parseNumber(rest[2]), ageMs: parseDuration(rest[3]),
			};
		}

		case feedMessageKind.askConfiguration: {
			return {kind, version: parseNumber(rest[0])};
		}

		case feedMessageKind.configuration: {
			if (typeof rest[1] !== 'string') {
				throw new BadFrameError('feed message has no text of a configuration');
			}

			return {kind, version: parseNumber(rest[0]), text: rest[1]};
		}

		default: {
			throw new BadFrameError('feed message is of an unknown kind');
		}
	}
}

function toPositionItems({revision, era}: StorePosition): unknown[] {
	return [revision, era ?? noEra];
}

function parsePosition([revision, era]: readonly unknown[]): StorePosition {
	const number = parseNumber(era);
	return {revision: parseNumber(revision), era: number === noEra ? undefined : number};
}

function parseChanges(value: unknown): StoreChange[] {
	if (!Array.isArray(value)) {
		throw new BadFrameError('feed message has no list of changes');
	}

	return value.map((row: unknown): StoreChange => {
		const [key, text, revision] = Array.isArray(row) ? row as unknown[] : [];
		if (typeof key !== 'string' || (typeof text !== 'string' && text !== null)) {
			throw new BadFrameError('feed message has a malformed change');
		}

		return {key, value: text ?? undefined, revision: parseNumber(revision)};
	});
}

function parseNumber(value: unknown): number {
	if (typeof value !== 'number' || !Number.isFinite(value)) {
		throw new BadFrameError('feed message has a field that is not a finite number');
	}

	return value;
}

function parseDuration(value: unknown): number {
	const durationMs = parseNumber(value);
	if (durationMs < 0) {
		throw new BadFrameError('feed message has a negative duration');
	}

	return durationMs;
}

/** Parses for how long the store has been answering, which entries of earlier versions do not tell. */
function parseAnsweringMs(value: unknown): number {
	return value === undefined ? 0 : parseDuration(value);
}

import {BadFrameError} from '../errors/index.js';
import type {CountRow} from './counts.js';

/** Number of each kind of message on the wire, where it is the first item; 50 to 59 are those of usage counts. */
const messageKind = {counts: 50, received: 51} as const;
const lastKind = 59;
/** Maximum number of rows of a message, which is at most 64 KB. */
export const maxRows = 800;
/** Maximum length of a name, in characters. */
const maxNameLength = 256;

/** Counts of one process since the last message over the same connection. */
export type CountsMessage = {
	readonly kind: 'counts';
	readonly vm: string;
	/** Start of the process: another process on the VM counts anew. */
	readonly incarnation: number;
	readonly sequence: number;
	/** The sender's own estimate of the true time, in milliseconds. */
	readonly ownTimeMs: number;
	/** Complete counts of windows and customers, not differences. */
	readonly rows: readonly CountRow[];
};

/** Answer to counts; with the time that the entries agree on, where the receiver knows it. */
export type ReceivedMessage = {readonly kind: 'received'; readonly sequence: number; readonly timeMs: number | undefined};

/** Tells whether received items are a message of this kind. */
export function isUsageMessage(items: unknown): boolean {
	return Array.isArray(items) && typeof items[0] === 'number' && items[0] >= messageKind.counts && items[0] <= lastKind;
}

/** Converts a message into the list of items that is sent. */
export function toUsageItems(message: CountsMessage | ReceivedMessage): unknown[] {
	return message.kind === 'counts'
		? [messageKind.counts, message.vm, message.incarnation, message.sequence, Math.round(message.ownTimeMs), message.rows]
		: [messageKind.received, message.sequence, message.timeMs === undefined ? 0 : Math.round(message.timeMs)];
}

/** Parses a received list of items; `undefined` for a kind that a later version sends. Throws `BadFrameError` when it is malformed. */
export function parseUsageItems(items: unknown): CountsMessage | ReceivedMessage | undefined {
	const [kind, ...rest] = Array.isArray(items) ? items as unknown[] : [];
	if (kind === messageKind.counts) {
		const [vm, incarnation, sequence, ownTimeMs, rows] = rest;
		if (!Array.isArray(rows) || rows.length > maxRows) {
			throw new BadFrameError('usage message has no list of rows, or one that is too long');
		}

		return {
			kind: 'counts', vm: parseName(vm), incarnation: parseWhole(incarnation), sequence: parseWhole(sequence), ownTimeMs: parseWhole(ownTimeMs), rows: rows.map(row => parseRow(row)),
		};
	}

	if (kind === messageKind.received) {
		const timeMs = parseWhole(rest[1]);
		return {kind: 'received', sequence: parseWhole(rest[0]), timeMs: timeMs === 0 ? undefined : timeMs};
	}

	return undefined;
}

function parseRow(row: unknown): CountRow {
	const [window, customer, count] = Array.isArray(row) ? row as unknown[] : [];
	return [parseWhole(window), parseName(customer), parseWhole(count)];
}

function parseName(value: unknown): string {
	if (typeof value !== 'string' || value === '' || value.length > maxNameLength) {
		throw new BadFrameError('usage message has a malformed name');
	}

	return value;
}

function parseWhole(value: unknown): number {
	if (!Number.isSafeInteger(value) || (value as number) < 0) {
		throw new BadFrameError('usage message has a field that is not a whole number');
	}

	return value as number;
}

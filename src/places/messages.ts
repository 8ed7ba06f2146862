import {engineOutcome} from '../dispatch/index.js';
import type {EngineOutcome, PrefixBlock} from '../dispatch/index.js';
import {BadFrameError, refusalReason} from '../errors/index.js';
import type {RefusalReason} from '../errors/index.js';
import type {GrantedEngines, PlaceAsk} from './types.js';

/** Kinds of messages on the wire: the first item of each. New ones are added at the end. */
export const placeMessageKind = {
	ask: 1, grant: 2, refuse: 3, read: 4, release: 5, cancel: 6, ping: 7, pong: 8,
} as const;

/** A message between an entry that asks for places and the one that keeps them; `ask` numbers the request on its connection,
or the ping. */
export type PlaceMessage =
	| {readonly kind: typeof placeMessageKind.ask; readonly ask: number; readonly place: PlaceAsk}
	| {readonly kind: typeof placeMessageKind.grant; readonly ask: number; readonly engines: GrantedEngines; readonly givenPart: number}
	| {readonly kind: typeof placeMessageKind.refuse; readonly ask: number; readonly reason: RefusalReason; readonly retryAfterMs: number; readonly givenPart: number}
	| {readonly kind: typeof placeMessageKind.read; readonly ask: number; readonly sign: EngineOutcome | undefined}
	| {readonly kind: typeof placeMessageKind.release; readonly ask: number; readonly sign: EngineOutcome | undefined}
	| {readonly kind: typeof placeMessageKind.cancel; readonly ask: number}
	| {readonly kind: typeof placeMessageKind.ping; readonly ask: number}
	| {readonly kind: typeof placeMessageKind.pong; readonly ask: number};

const signs = Object.values(engineOutcome);
const reasons = Object.values(refusalReason);

/** Turns a message into the items that travel. */
export function toItems(message: PlaceMessage): unknown[] {
	switch (message.kind) {
		case placeMessageKind.ask: {
			const {place} = message;
			return [
				message.kind,
				message.ask,
				place.service,
				Math.round(place.targetMs),
				Math.round(place.deadlineMs),
				Math.round(place.patienceMs),
				Math.round(place.serviceMs),
				place.prefixBlocks.flatMap(part => [part.id, part.tokens]),
				place.uniqueTokens,
				place.outputTokens,
				place.engineTokens,
				place.tried,
			];
		}

		case placeMessageKind.grant: {
			return [message.kind, message.ask, message.engines.reader ?? '', message.engines.writer, message.engines.keeper ?? '', Math.round(message.givenPart * 100)];
		}

		case placeMessageKind.refuse: {
			return [message.kind, message.ask, message.reason, Math.round(message.retryAfterMs), Math.round(message.givenPart * 100)];
		}

		case placeMessageKind.read:
		case placeMessageKind.release: {
			return [message.kind, message.ask, message.sign ?? ''];
		}

		case placeMessageKind.ping:
		case placeMessageKind.pong:
		case placeMessageKind.cancel: {
			return [message.kind, message.ask];
		}
	}
}

/** Checks the items of a message; throws `BadFrameError`. */
export function parseItems(items: unknown): PlaceMessage {
	if (!Array.isArray(items)) {
		throw new BadFrameError('a message that is no list');
	}

	const [kind, ask, ...rest] = items as unknown[];
	const number = parseNumber(ask);
	switch (kind) {
		case placeMessageKind.ask: {
			return {kind, ask: number, place: parseAsk(rest)};
		}

		case placeMessageKind.grant: {
			const engines = {reader: parseText(rest[0]) || undefined, writer: parseText(rest[1]), keeper: parseText(rest[2]) || undefined};
			return {
				kind, ask: number, engines, givenPart: parseNumber(rest[3]) / 100,
			};
		}

		case placeMessageKind.refuse: {
			const reason = reasons.find(known => known === rest[0]) ?? refusalReason.unavailable;
			return {
				kind, ask: number, reason, retryAfterMs: parseNumber(rest[1]), givenPart: parseNumber(rest[2]) / 100,
			};
		}

		case placeMessageKind.read:
		case placeMessageKind.release: {
			return {kind, ask: number, sign: signs.find(known => known === rest[0])};
		}

		case placeMessageKind.ping:
		case placeMessageKind.pong:
		case placeMessageKind.cancel: {
			return {kind, ask: number};
		}

		default: {
			throw new BadFrameError('a message of an unknown kind');
		}
	}
}

function parseAsk(items: readonly unknown[]): PlaceAsk {
	const [service, targetMs, deadlineMs, patienceMs, serviceMs, shared, ownTokens, outputTokens, engineTokens, tried] = items;
	return {
		service: parseText(service),
		targetMs: parseNumber(targetMs),
		deadlineMs: parseNumber(deadlineMs),
		patienceMs: parseNumber(patienceMs),
		serviceMs: parseNumber(serviceMs),
		prefixBlocks: parseShared(shared),
		uniqueTokens: parseNumber(ownTokens),
		outputTokens: parseNumber(outputTokens),
		engineTokens: parseNumber(engineTokens),
		tried: Array.isArray(tried) ? tried.map(id => parseText(id)) : [],
	};
}

function parseShared(value: unknown): PrefixBlock[] {
	const items = Array.isArray(value) ? value : [];
	const parts: PrefixBlock[] = [];
	for (let index = 0; index + 1 < items.length; index += 2) {
		parts.push({id: parseText(items[index]), tokens: parseNumber(items[index + 1])});
	}

	return parts;
}

function parseNumber(value: unknown): number {
	if (typeof value !== 'number' || !Number.isFinite(value)) {
		throw new BadFrameError('a field that is no number');
	}

	return value;
}

function parseText(value: unknown): string {
	if (typeof value !== 'string') {
		throw new BadFrameError('a field that is no text');
	}

	return value;
}

import {engineOutcome} from '../dispatch/index.js';
import type {EngineOutcome, PrefixBlock, StreamPace} from '../dispatch/index.js';
import {BadFrameError, refusalReason} from '../errors/index.js';
import type {RefusalReason} from '../errors/index.js';
import type {Quarantine} from '../quarantine/index.js';
import type {LimitedEngine, RequestLimit} from '../requestlimits/index.js';
import type {ReservedEngines, ReservationRequest} from './types.js';

/** Number of each kind of message on the wire, where it is the first item. Add new kinds at the end. */
export const allocatorMessageKind = {
	request: 1, grant: 2, refuse: 3, prefillEnd: 4, release: 5, cancel: 6, ping: 7, pong: 8, adopt: 9, quarantine: 10, limits: 11, permitRequest: 12, permit: 13, silence: 14, pace: 15,
} as const;

/** A message between an entry and a slot allocator. `id` identifies the reservation request, or the ping, on its connection. */
export type AllocatorMessage =
	| {readonly kind: typeof allocatorMessageKind.request; readonly id: number; readonly request: ReservationRequest}
	| {readonly kind: typeof allocatorMessageKind.grant; readonly id: number; readonly engines: ReservedEngines; readonly grantRate: number}
	| {readonly kind: typeof allocatorMessageKind.refuse; readonly id: number; readonly reason: RefusalReason; readonly retryAfterMs: number; readonly grantRate: number}
	| {readonly kind: typeof allocatorMessageKind.prefillEnd; readonly id: number; readonly outcome: EngineOutcome | undefined}
	| {readonly kind: typeof allocatorMessageKind.release; readonly id: number; readonly outcome: EngineOutcome | undefined}
	| {readonly kind: typeof allocatorMessageKind.adopt; readonly id: number; readonly request: ReservationRequest; readonly engines: ReservedEngines; readonly isPrefillPending: boolean}
	/** What the sender knows of blocks that crash engines; sent in both directions, with the id 0. */
	| {readonly kind: typeof allocatorMessageKind.quarantine; readonly id: number; readonly quarantines: readonly Quarantine[]}
	/** What the sender, the entry on the VM `sender`, knows of engines' limits; sent in both directions, with the id 0. */
	| {readonly kind: typeof allocatorMessageKind.limits; readonly id: number; readonly sender: string; readonly limits: readonly RequestLimit[]}
	/** Asks for a permit to send one request to an engine; `priorCount` are those that the sender sent it in the second before it knew of the limit. */
	| {readonly kind: typeof allocatorMessageKind.permitRequest; readonly id: number; readonly engine: LimitedEngine; readonly priorCount: number}
	/** Grants or refuses a permit; `waitMs` is the time after which another one may be asked for. */
	| {readonly kind: typeof allocatorMessageKind.permit; readonly id: number; readonly isGranted: boolean; readonly waitMs: number}
	/** Tells that the decode engine of a reservation sends nothing for its request, or goes on after that. */
	| {readonly kind: typeof allocatorMessageKind.silence; readonly id: number; readonly isSilent: boolean}
	/** Tells how fast the decode engine of a reservation sent the events of the answer. */
	| {readonly kind: typeof allocatorMessageKind.pace; readonly id: number; readonly pace: StreamPace}
	| {readonly kind: typeof allocatorMessageKind.cancel; readonly id: number}
	| {readonly kind: typeof allocatorMessageKind.ping; readonly id: number}
	| {readonly kind: typeof allocatorMessageKind.pong; readonly id: number};

/** Stands for a request without a priority. */
const noPriority = -1;
/** Stands for an engine that names no limit. */
const noLimit = -1;

/** Maximum length of a customer's name, in characters; longer ones are hashed by the sender. */
const maxCustomerLength = 64;

const outcomes = Object.values(engineOutcome);
const reasons = Object.values(refusalReason);

/** Converts a message into the list of items that is sent. */
export function toItems(message: AllocatorMessage): unknown[] {
	switch (message.kind) {
		case allocatorMessageKind.request: {
			return [message.kind, message.id, ...toRequestItems(message.request)];
		}

		case allocatorMessageKind.adopt: {
			const {prefillEngine, decodeEngine, firstTokenMs} = message.engines;
			return [message.kind, message.id, prefillEngine ?? '', decodeEngine, Math.round(firstTokenMs), message.isPrefillPending, ...toRequestItems(message.request)];
		}

		case allocatorMessageKind.grant: {
			const {prefillEngine, decodeEngine, prefixSource, firstTokenMs} = message.engines;
			return [message.kind, message.id, prefillEngine ?? '', decodeEngine, prefixSource ?? '', Math.round(message.grantRate * 100), Math.round(firstTokenMs)];
		}

		case allocatorMessageKind.refuse: {
			return [message.kind, message.id, message.reason, Math.round(message.retryAfterMs), Math.round(message.grantRate * 100)];
		}

		case allocatorMessageKind.quarantine: {
			return [message.kind, message.id, message.quarantines.map(({blocks, remainingMs, count}) => [Math.round(remainingMs), count, ...blocks])];
		}

		case allocatorMessageKind.limits: {
			return [message.kind, message.id, message.sender, message.limits.map(({service, id, perSecond, ageMs}) => [service, id, Number.isFinite(perSecond) ? perSecond : noLimit, Math.round(ageMs)])];
		}

		case allocatorMessageKind.permitRequest: {
			return [message.kind, message.id, message.engine.service, message.engine.id, message.priorCount];
		}

		case allocatorMessageKind.permit: {
			return [message.kind, message.id, message.isGranted, Math.round(message.waitMs)];
		}

		case allocatorMessageKind.silence: {
			return [message.kind, message.id, message.isSilent];
		}

		case allocatorMessageKind.pace: {
			const {intervalMs, slowdown, targetGapMs} = message.pace;
			return [message.kind, message.id, Math.round(intervalMs), slowdown, targetGapMs];
		}

		case allocatorMessageKind.prefillEnd:
		case allocatorMessageKind.release: {
			return [message.kind, message.id, message.outcome ?? ''];
		}

		case allocatorMessageKind.ping:
		case allocatorMessageKind.pong:
		case allocatorMessageKind.cancel: {
			return [message.kind, message.id];
		}
	}
}

function toRequestItems(request: ReservationRequest): unknown[] {
	return [
		request.service,
		Math.round(request.targetMs),
		Math.round(request.deadlineMs),
		Math.round(request.firstByteTimeoutMs),
		Math.round(request.serviceMs),
		request.prefixBlocks.flatMap(block => [block.id, block.tokens]),
		request.uniqueTokens,
		request.outputTokens,
		request.kvCapacityTokens,
		request.excludedEngines,
		request.kvTransferMsPerToken,
		...(request.customer === undefined ? [] : [request.customer, request.priority ?? noPriority]),
	];
}

/** Parses a received list of items. Throws `BadFrameError` when it is not a message. */
export function parseItems(items: unknown): AllocatorMessage {
	if (!Array.isArray(items)) {
		throw new BadFrameError('allocator message is not a list');
	}

	const [kind, idItem, ...rest] = items as unknown[];
	const id = parseNumber(idItem);
	switch (kind) {
		case allocatorMessageKind.request: {
			return {kind, id, request: parseReservationRequest(rest)};
		}

		case allocatorMessageKind.adopt: {
			const [prefillEngine, decodeEngine, firstTokenMs, isPrefillPending, ...requestItems] = rest;
			return {
				kind,
				id,
				engines: {
					prefillEngine: parseString(prefillEngine) || undefined, decodeEngine: parseString(decodeEngine), prefixSource: undefined, firstTokenMs: parseNumber(firstTokenMs),
				},
				isPrefillPending: isPrefillPending === true,
				request: parseReservationRequest(requestItems),
			};
		}

		case allocatorMessageKind.grant: {
			const engines = {
				prefillEngine: parseString(rest[0]) || undefined, decodeEngine: parseString(rest[1]), prefixSource: parseString(rest[2]) || undefined, firstTokenMs: parseOptionalNumber(rest[4]),
			};
			return {
				kind, id, engines, grantRate: parseNumber(rest[3]) / 100,
			};
		}

		case allocatorMessageKind.refuse: {
			const reason = reasons.find(known => known === rest[0]) ?? refusalReason.unavailable;
			return {
				kind, id, reason, retryAfterMs: parseNumber(rest[1]), grantRate: parseNumber(rest[2]) / 100,
			};
		}

		case allocatorMessageKind.quarantine: {
			return {kind, id, quarantines: parseQuarantines(rest[0])};
		}

		case allocatorMessageKind.limits: {
			return {
				kind, id, sender: parseString(rest[0]), limits: parseLimits(rest[1]),
			};
		}

		case allocatorMessageKind.permitRequest: {
			return {
				kind, id, engine: {service: parseString(rest[0]), id: parseString(rest[1])}, priorCount: parseNumber(rest[2]),
			};
		}

		case allocatorMessageKind.permit: {
			return {
				kind, id, isGranted: rest[0] === true, waitMs: parseNumber(rest[1]),
			};
		}

		case allocatorMessageKind.silence: {
			return {kind, id, isSilent: rest[0] === true};
		}

		case allocatorMessageKind.pace: {
			return {kind, id, pace: {intervalMs: parseNumber(rest[0]), slowdown: parseNumber(rest[1]), targetGapMs: parseNumber(rest[2])}};
		}

		case allocatorMessageKind.prefillEnd:
		case allocatorMessageKind.release: {
			return {kind, id, outcome: outcomes.find(known => known === rest[0])};
		}

		case allocatorMessageKind.ping:
		case allocatorMessageKind.pong:
		case allocatorMessageKind.cancel: {
			return {kind, id};
		}

		default: {
			throw new BadFrameError('allocator message is of an unknown kind');
		}
	}
}

function parseReservationRequest(items: readonly unknown[]): ReservationRequest {
	const [service, targetMs, deadlineMs, firstByteTimeoutMs, serviceMs, prefixBlocks, uniqueTokens, outputTokens, kvCapacityTokens, excludedEngines, kvTransferMsPerToken, customer, priority] = items;
	return {
		service: parseString(service),
		targetMs: parseNumber(targetMs),
		deadlineMs: parseNumber(deadlineMs),
		firstByteTimeoutMs: parseNumber(firstByteTimeoutMs),
		serviceMs: parseNumber(serviceMs),
		prefixBlocks: parsePrefixBlocks(prefixBlocks),
		uniqueTokens: parseNumber(uniqueTokens),
		outputTokens: parseNumber(outputTokens),
		kvCapacityTokens: parseNumber(kvCapacityTokens),
		kvTransferMsPerToken: parseOptionalNumber(kvTransferMsPerToken),
		excludedEngines: Array.isArray(excludedEngines) ? excludedEngines.map(id => parseString(id)) : [],
		...parseCustomer(customer, priority),
	};
}

/** Parses the customer of a request, which entries of an earlier build don't send. */
function parseCustomer(customer: unknown, priority: unknown): Pick<ReservationRequest, 'customer' | 'priority'> {
	if (customer === undefined) {
		return {};
	}

	const name = parseString(customer);
	const number = parseNumber(priority);
	if (name.length > maxCustomerLength) {
		throw new BadFrameError('allocator message has a customer that is too long');
	}

	return number === noPriority ? {customer: name} : {customer: name, priority: number};
}

function parseQuarantines(value: unknown): Quarantine[] {
	if (!Array.isArray(value)) {
		throw new BadFrameError('allocator message has no list of quarantines');
	}

	return value.map((row: unknown) => {
		const [remainingMs, count, ...blocks] = Array.isArray(row) ? row as unknown[] : [];
		return {remainingMs: parseNumber(remainingMs), count: parseNumber(count), blocks: blocks.map(id => parseString(id))};
	});
}

function parseLimits(value: unknown): RequestLimit[] {
	if (!Array.isArray(value)) {
		throw new BadFrameError('allocator message has no list of limits');
	}

	return value.map((row: unknown) => {
		const [service, engineId, perSecond, ageMs] = Array.isArray(row) ? row as unknown[] : [];
		const limit = parseNumber(perSecond);
		return {
			service: parseString(service), id: parseString(engineId), perSecond: limit < 0 ? Number.POSITIVE_INFINITY : limit, ageMs: parseNumber(ageMs),
		};
	});
}

function parsePrefixBlocks(value: unknown): PrefixBlock[] {
	const items = Array.isArray(value) ? value : [];
	const blocks: PrefixBlock[] = [];
	for (let index = 0; index + 1 < items.length; index += 2) {
		blocks.push({id: parseString(items[index]), tokens: parseNumber(items[index + 1])});
	}

	return blocks;
}

function parseNumber(value: unknown): number {
	if (typeof value !== 'number' || !Number.isFinite(value)) {
		throw new BadFrameError('allocator message has a field that is not a finite number');
	}

	return value;
}

/** Parses a number that entries of an earlier build don't send; 0 then. */
function parseOptionalNumber(value: unknown): number {
	return value === undefined ? 0 : parseNumber(value);
}

function parseString(value: unknown): string {
	if (typeof value !== 'string') {
		throw new BadFrameError('allocator message has a field that is not a string');
	}

	return value;
}

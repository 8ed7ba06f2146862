import {z} from 'zod';
import {BadFrameError} from '../errors/index.js';
import {messageKind, upstreamState} from '../feed/index.js';
import type {FactKind, PeerMessage, WireFact} from '../feed/index.js';
import {vmState} from '../store/index.js';

const maxTextLength = 256;
const maxItems = 20_000;
const maxConfigurationLength = 1_048_576;

/** Values that are sent as codes. The code is the index in the list; add new values at the end. */
const messageKinds = [messageKind.hello, messageKind.heartbeat, messageKind.facts, messageKind.digest, messageKind.textRequest, messageKind.text] as const;
const factKinds = ['configuration', 'upstream', 'load', 'member', 'demand'] as const satisfies readonly FactKind[];
const roles = ['prefill', 'decode', 'mixed'] as const;
const vmStates = [vmState.live, vmState.leaving] as const;

const shortText = z.string().max(maxTextLength);
const count = z.number().nonnegative();
const version = z.int().nonnegative();
const createCodeSchema = (list: readonly unknown[]) => z.int().min(0).max(list.length - 1);
const factKind = createCodeSchema(factKinds).transform(index => factKinds[index]!);

const loadSchema = z.tuple([count, count, createCodeSchema(roles), count, count, count, count, count, count])
	.transform(([sequence, incarnation, role, running, waiting, prefillTokens, decodeTokens, piecesUsed, pieces]) => ({
		sequence, incarnation, role: roles[role]!, running, waiting, prefillTokens, decodeTokens, piecesUsed, pieces,
	}));
const memberSchema = z.tuple([shortText, shortText, shortText, shortText, version, createCodeSchema(vmStates), version, z.record(shortText, z.tuple([version, z.int()]))])
	.transform(([vm, domain, http, peer, incarnation, state, configuration, closed]) => ({
		vm,
		domain,
		http,
		peer,
		incarnation,
		state: vmStates[state]!,
		configuration,
		closed: Object.fromEntries(Object.entries(closed).map(([key, [seenVersion, running]]) => [key, {version: seenVersion, running}])),
	}));
const setupSchema = z.looseObject({
	role: z.enum(roles), model: shortText, version: shortText, adapters: z.array(shortText).max(maxTextLength),
});
const valueSchemas = {
	configuration: z.strictObject({hash: shortText}),
	upstream: z.looseObject({state: z.enum(Object.values(upstreamState)), setup: setupSchema.optional()}),
	load: loadSchema,
	member: memberSchema,
	demand: z.looseObject({requestsPerSecond: count, promptTokensPerSecond: count, outputTokensPerSecond: count}),
} as const satisfies Record<FactKind, z.ZodType>;

const messageSchemas = {
	hello: z.tuple([shortText, shortText]).transform(([vm, domain]) => ({vm, domain})),
	beat: z.tuple([shortText, version, version, z.boolean(), version]).transform(([root, sequence, hops, isChild, check]) => ({
		root, sequence, hops, isChild, check,
	})),
	facts: z.tuple([z.array(z.tuple([factKind, shortText, version, z.unknown()])).max(maxItems)]).transform(([facts]) => ({
		facts: facts.map(([kind, key, factVersion, value]) => {
			const fact: WireFact = {
				kind, key, version: factVersion, value: valueSchemas[kind].parse(value),
			};
			return fact;
		}),
	})),
	digest: z.tuple([z.array(z.tuple([factKind, shortText, version])).max(maxItems), z.boolean()]).transform(([versions, isAnswerWanted]) => ({
		versions: versions.map(([kind, key, factVersion]) => ({kind, key, version: factVersion})), isAnswerWanted,
	})),
	need: z.tuple([version]).transform(([configurationVersion]) => ({version: configurationVersion})),
	text: z.tuple([version, shortText, z.string().max(maxConfigurationLength)]).transform(([configurationVersion, hash, body]) => ({version: configurationVersion, hash, text: body})),
} as const;

/** Converts a message into the compact arrays that are sent. */
export function toWire(message: PeerMessage): unknown[] {
	return [messageKinds.indexOf(message.kind), ...toFields(message)];
}

/** Validates a decoded value and converts it into a message. Throws `BadFrameError`. */
export function parseWire(value: unknown): PeerMessage {
	const [index, ...fields] = Array.isArray(value) ? value as unknown[] : [];
	const kind = typeof index === 'number' ? messageKinds[index] : undefined;
	if (kind === undefined) {
		throw new BadFrameError('message is of an unknown kind');
	}

	try {
		const message: unknown = {kind, ...messageSchemas[kind].parse(fields)};
		return message as PeerMessage;
	} catch (error) {
		throw new BadFrameError(`message of kind ${kind} does not match its schema`, {cause: error});
	}
}

function toFields(message: PeerMessage): unknown[] {
	switch (message.kind) {
		case messageKind.hello: {
			return [message.vm, message.domain];
		}

		case messageKind.heartbeat: {
			return [message.root, message.sequence, message.hops, message.isChild, message.check];
		}

		case messageKind.facts: {
			return [message.facts.map(fact => [factKinds.indexOf(fact.kind), fact.key, fact.version, toWireValue(fact)])];
		}

		case messageKind.digest: {
			return [message.versions.map(fact => [factKinds.indexOf(fact.kind), fact.key, fact.version]), message.isAnswerWanted];
		}

		case messageKind.textRequest: {
			return [message.version];
		}

		case messageKind.text: {
			return [message.version, message.hash, message.text];
		}
	}
}

function toWireValue({kind, value}: WireFact): unknown {
	if (kind === 'load') {
		const load = value as z.infer<typeof loadSchema>;
		return [
			load.sequence,
			load.incarnation,
			roles.indexOf(load.role),
			load.running,
			load.waiting,
			load.prefillTokens,
			load.decodeTokens,
			load.piecesUsed,
			load.pieces,
		];
	}

	if (kind === 'member') {
		const member = value as z.infer<typeof memberSchema>;
		const closed = Object.fromEntries(Object.entries(member.closed).map(([key, {version: seenVersion, running}]) => [key, [seenVersion, running]]));
		return [
			member.vm, member.domain, member.http, member.peer, member.incarnation, vmStates.indexOf(member.state), member.configuration, closed,
		];
	}

	return value;
}

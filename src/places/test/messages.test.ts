import {expect} from 'chai';
import fc from 'fast-check';
import {BadFrameError} from '../../errors/index.js';
import {parseItems, allocatorMessageKind, toItems} from '../index.js';
import type {AllocatorMessage} from '../index.js';

const seed = 12;
const integer = fc.integer({min: -5000, max: 20_000});
const text = fc.string({minLength: 1, maxLength: 12});

const requests = fc.record({
	service: text,
	targetMs: integer,
	deadlineMs: integer,
	firstByteTimeoutMs: integer,
	serviceMs: integer,
	prefixBlocks: fc.array(fc.record({id: text, tokens: integer}), {maxLength: 4}),
	uniqueTokens: integer,
	outputTokens: integer,
	kvCapacityTokens: integer,
	kvTransferMsPerToken: fc.double({min: 0, max: 1, noNaN: true}),
	excludedEngines: fc.array(text, {maxLength: 3}),
});

describe('allocator messages', () => {
	it('are parsed as they were sent', () => {
		fc.assert(fc.property(requests, fc.nat(), (request, id) => {
			const message: AllocatorMessage = {kind: allocatorMessageKind.request, id, request};
			expect(parseItems(toItems(message))).to.deep.equal(message);
		}), {seed});
		const others: AllocatorMessage[] = [
			{
				kind: allocatorMessageKind.grant, id: 1, engines: {
					prefillEngine: undefined, decodeEngine: 'w', prefixSource: 'k', firstTokenMs: 140,
				}, grantRate: 1,
			},
			{
				kind: allocatorMessageKind.refuse, id: 2, reason: 'deadline', retryAfterMs: 250, grantRate: 0.25,
			},
			{
				kind: allocatorMessageKind.limits, id: 0, sender: 'vm1', limits: [
					{
						service: 'llm', id: 'd1', perSecond: 0.4, ageMs: 12,
					},
					{
						service: 'llm', id: 'd2', perSecond: Number.POSITIVE_INFINITY, ageMs: 0,
					},
				],
			},
			{
				kind: allocatorMessageKind.permitRequest, id: 9, engine: {service: 'app', id: 'a1'}, priorCount: 3,
			},
			{
				kind: allocatorMessageKind.permit, id: 9, isGranted: false, waitMs: 138,
			},
			{kind: allocatorMessageKind.prefillEnd, id: 3, outcome: 'answered'},
			{kind: allocatorMessageKind.release, id: 4, outcome: undefined},
			{kind: allocatorMessageKind.cancel, id: 5},
			{kind: allocatorMessageKind.ping, id: 6},
			{kind: allocatorMessageKind.pong, id: 7},
		];
		fc.assert(fc.property(requests, fc.nat(), fc.boolean(), (request, id, isPrefillPending) => {
			const message: AllocatorMessage = {
				kind: allocatorMessageKind.adopt, id, request, isPrefillPending, engines: {
					prefillEngine: isPrefillPending ? 'p' : undefined, decodeEngine: 'd', prefixSource: undefined, firstTokenMs: 140,
				},
			};
			expect(parseItems(toItems(message))).to.deep.equal(message);
		}), {seed});
		for (const message of others) {
			expect(parseItems(toItems(message))).to.deep.equal(message);
		}
	});

	it('are rejected when malformed', () => {
		for (const items of ['x', [], [99, 1], [allocatorMessageKind.request, 1, 5], [allocatorMessageKind.grant, 'a', 'w']]) {
			expect(() => parseItems(items)).to.throw(BadFrameError);
		}
	});
});

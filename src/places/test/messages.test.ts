import {expect} from 'chai';
import fc from 'fast-check';
import {BadFrameError} from '../../errors/index.js';
import {parseItems, placeMessageKind, toItems} from '../index.js';
import type {PlaceMessage} from '../index.js';

const seed = 12;
const whole = fc.integer({min: -5000, max: 20_000});
const text = fc.string({minLength: 1, maxLength: 12});

const ask = fc.record({
	service: text,
	targetMs: whole,
	deadlineMs: whole,
	patienceMs: whole,
	serviceMs: whole,
	prefixBlocks: fc.array(fc.record({id: text, tokens: whole}), {maxLength: 4}),
	uniqueTokens: whole,
	outputTokens: whole,
	engineTokens: whole,
	tried: fc.array(text, {maxLength: 3}),
});

describe('messages of places', () => {
	it('come back as they were sent', () => {
		fc.assert(fc.property(ask, fc.nat(), (place, number) => {
			const message: PlaceMessage = {kind: placeMessageKind.ask, ask: number, place};
			expect(parseItems(toItems(message))).to.deep.equal(message);
		}), {seed});
		const others: PlaceMessage[] = [
			{
				kind: placeMessageKind.grant, ask: 1, engines: {reader: undefined, writer: 'w', keeper: 'k'}, givenPart: 1,
			},
			{
				kind: placeMessageKind.refuse, ask: 2, reason: 'deadline', retryAfterMs: 250, givenPart: 0.25,
			},
			{kind: placeMessageKind.read, ask: 3, sign: 'answered'},
			{kind: placeMessageKind.release, ask: 4, sign: undefined},
			{kind: placeMessageKind.cancel, ask: 5},
			{kind: placeMessageKind.ping, ask: 6},
			{kind: placeMessageKind.pong, ask: 7},
		];
		for (const message of others) {
			expect(parseItems(toItems(message))).to.deep.equal(message);
		}
	});

	it('are refused when they are malformed', () => {
		for (const items of ['x', [], [99, 1], [placeMessageKind.ask, 1, 5], [placeMessageKind.grant, 'a', 'w']]) {
			expect(() => parseItems(items)).to.throw(BadFrameError);
		}
	});
});

import {Buffer} from 'node:buffer';
import {deflateRawSync} from 'node:zlib';
import {expect} from 'chai';
import {Encoder} from 'cbor-x';
import {BadFrameError} from '../../errors/index.js';
import type {PeerMessage} from '../../feed/index.js';
import {FrameCodec} from '../index.js';

const cborEncoder = new Encoder({useRecords: false});
const facts: PeerMessage = {
	kind: 'facts',
	facts: [
		{
			kind: 'upstream', key: 'e1', version: 7, value: {
				state: 'closing', setup: {
					role: 'mixed', model: 'm', version: '1', adapters: [],
				},
			},
		},
		{
			kind: 'member', key: 'vm-1', version: 1_700_000_000_123, value: {
				vm: 'vm-1', domain: 'd', http: '127.0.0.1:1', peer: '127.0.0.1:2', incarnation: 1_700_000_000_000, state: 'live', configuration: 3, closed: {e1: {version: 7, running: 2}},
			},
		},
		{
			kind: 'load', key: 'e1', version: 9, value: {
				sequence: 9, incarnation: 1, role: 'decode', running: 1, waiting: 2, prefillTokens: 3, decodeTokens: 4, piecesUsed: 5, pieces: 6,
			},
		},
	],
};

function encodeRaw(value: unknown): Uint8Array {
	return deflateRawSync(cborEncoder.encode(value));
}

describe('FrameCodec', () => {
	it('decodes every kind of message as it was encoded', () => {
		const sender = new FrameCodec();
		const receiver = new FrameCodec();
		const messages: PeerMessage[] = [
			{kind: 'hello', vm: 'vm-1', domain: 'd'},
			{
				kind: 'beat', root: 'vm-2', sequence: 1_700_000_000, hops: 2, isChild: true, check: 4_000_000_000,
			},
			facts,
			{kind: 'digest', versions: [{kind: 'upstream', key: 'e1', version: 7}], isAnswerWanted: true},
			{kind: 'need', version: 4},
			{
				kind: 'text', version: 4, hash: 'h', text: 'x'.repeat(100_000),
			},
		];
		for (const message of [...messages, ...messages]) {
			expect(receiver.decode(sender.encode(message))).to.deep.equal(message);
		}
	});

	it('encodes a repeated message in less than a third of its first size', () => {
		const sender = new FrameCodec();
		const first = sender.encode(facts).length;
		expect(sender.encode(facts).length).to.be.below(first / 3);
	});

	it('rejects frames that are not deflated, not CBOR, do not match a schema, are nested too deeply or are too long', () => {
		let deep: unknown = 1;
		for (let index = 0; index < 12; index++) {
			deep = [deep];
		}

		const badFrames = [
			Buffer.from([1, 2, 3]),
			deflateRawSync(Buffer.from([0xFF, 0xFF])),
			encodeRaw({kind: 'hello'}),
			encodeRaw([99, 'vm']),
			encodeRaw([0, 'vm-1']),
			encodeRaw([0, 'vm-1', 7]),
			encodeRaw([2, [[1, 'e1', -1, {state: 'serving'}]]]),
			encodeRaw([2, [[1, 'e1', 1, {state: 'asleep'}]]]),
			encodeRaw([2, [[1, 'e1', 1, deep]]]),
			deflateRawSync(Buffer.alloc(3_000_000)),
			deflateRawSync(Buffer.alloc(1_900_000, 0x81)),
		];
		for (const [index, frame] of badFrames.entries()) {
			expect(() => new FrameCodec().decode(frame), `frame ${index}`).to.throw(BadFrameError);
		}
	});
});

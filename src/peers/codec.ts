import {Buffer} from 'node:buffer';
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {Decoder, Encoder} from 'cbor-x';
import {BadFrameError} from '../errors/index.js';
import type {PeerMessage} from '../feed/index.js';
import {parseWire, toWire} from './shapes.js';

/** Longest frame as it travels, in bytes. */
export const maxFrameBytes = 1_200_000;
/** Longest frame after decompression, in bytes. */
const maxPlainBytes = 2_000_000;
/** How much of a connection's earlier frames serves as the compression's dictionary, in bytes. */
const dictionaryBytes = 32_768;
const maxDepth = 8;

const options = {useRecords: false, mapsAsObjects: true, variableMapSize: true} as const;
const encoder = new Encoder(options);
const decoder = new Decoder(options);

/**
Turns messages into frames and back, for one direction of one connection. Frames carry much that earlier frames
carried, so each is compressed with the connection's last bytes as its dictionary; frames of a connection come in
order, so both ends have the same dictionary. No frame's structure depends on another's.
*/
export class FrameCodec {
	#dictionary: Uint8Array = Buffer.alloc(0);

	/** Encodes a message into a frame. */
	encode(message: PeerMessage): Uint8Array {
		const plain = encoder.encode(toWire(message));
		const frame = deflateRawSync(plain, {dictionary: this.#dictionary});
		this.#addPlain(plain);
		return frame;
	}

	/** Decodes a frame into a message. Throws `BadFrameError`. */
	decode(frame: Uint8Array): PeerMessage {
		try {
			const plain = inflateRawSync(frame, {dictionary: this.#dictionary, maxOutputLength: maxPlainBytes});
			this.#addPlain(plain);
			const value: unknown = decoder.decode(plain);
			checkDepth(value, maxDepth);
			return parseWire(value);
		} catch (error) {
			throw error instanceof BadFrameError ? error : new BadFrameError('a frame that can not be decoded', {cause: error});
		}
	}

	#addPlain(plain: Uint8Array): void {
		this.#dictionary = plain.length >= dictionaryBytes
			? Buffer.from(plain.subarray(plain.length - dictionaryBytes))
			: Buffer.concat([this.#dictionary.subarray(Math.max(0, this.#dictionary.length + plain.length - dictionaryBytes)), plain]);
	}
}

function checkDepth(value: unknown, depth: number): void {
	if (typeof value !== 'object' || value === null) {
		return;
	}

	if (depth === 0) {
		throw new BadFrameError('a message nested too deep');
	}

	for (const item of Object.values(value)) {
		checkDepth(item, depth - 1);
	}
}

import {Buffer} from 'node:buffer';
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {Decoder, Encoder} from 'cbor-x';
import {BadFrameError} from '../errors/index.js';
import type {PeerMessage} from '../feed/index.js';
import {parseWire, toWire} from './schemas.js';

/** Longest frame as it travels, in bytes. */
export const maxFrameBytes = 1_200_000;
/** Longest frame after decompression, in bytes. */
const maxUncompressedBytes = 2_000_000;
/** How much of a connection's earlier frames serves as the compression's dictionary, in bytes. */
const dictionaryBytes = 32_768;
const maxDepth = 8;

const cborOptions = {useRecords: false, mapsAsObjects: true, variableMapSize: true} as const;
const encoder = new Encoder(cborOptions);
const decoder = new Decoder(cborOptions);

/**
Turns messages into frames and back, for one direction of one connection. Frames carry much that earlier frames
carried, so each is compressed with the connection's last bytes as its dictionary; frames of a connection come in
order, so both ends have the same dictionary. No frame's structure depends on another's.
*/
export class FrameCodec {
	#dictionary: Uint8Array = Buffer.alloc(0);

	/** Encodes a message into a frame. */
	encode(message: PeerMessage): Uint8Array {
		const uncompressed = encoder.encode(toWire(message));
		const frame = deflateRawSync(uncompressed, {dictionary: this.#dictionary});
		this.#updateDictionary(uncompressed);
		return frame;
	}

	/** Decodes a frame into a message. Throws `BadFrameError`. */
	decode(frame: Uint8Array): PeerMessage {
		try {
			const uncompressed = inflateRawSync(frame, {dictionary: this.#dictionary, maxOutputLength: maxUncompressedBytes});
			this.#updateDictionary(uncompressed);
			const value: unknown = decoder.decode(uncompressed);
			checkDepth(value, maxDepth);
			return parseWire(value);
		} catch (error) {
			throw error instanceof BadFrameError ? error : new BadFrameError('a frame that can not be decoded', {cause: error});
		}
	}

	#updateDictionary(uncompressed: Uint8Array): void {
		this.#dictionary = uncompressed.length >= dictionaryBytes
			? Buffer.from(uncompressed.subarray(uncompressed.length - dictionaryBytes))
			: Buffer.concat([this.#dictionary.subarray(Math.max(0, this.#dictionary.length + uncompressed.length - dictionaryBytes)), uncompressed]);
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

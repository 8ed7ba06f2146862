import {Buffer} from 'node:buffer';
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {Decoder, Encoder} from 'cbor-x';
import {BadFrameError} from '../errors/index.js';
import type {PeerMessage} from '../feed/index.js';
import {parseWire, toWire} from './schemas.js';

/** Largest frame on the wire, in bytes. */
export const maxFrameBytes = 1_200_000;
/** Largest frame after decompression, in bytes. */
const maxUncompressedBytes = 2_000_000;
/** Size of the compression dictionary, in bytes: the latest uncompressed bytes of the connection. */
const dictionaryBytes = 32_768;
/** Deepest nesting of a message. */
const maxDepth = 8;

const cborOptions = {useRecords: false, mapsAsObjects: true, variableMapSize: true} as const;
const encoder = new Encoder(cborOptions);
const decoder = new Decoder(cborOptions);

/**
Encodes or decodes the frames of one direction of one connection. Frames repeat much of earlier frames, so each is
compressed with the connection's latest bytes as its dictionary. Frames of a connection arrive in order, so both ends have
the same dictionary. Apart from the dictionary frames are independent: no frame refers to a record structure of another.
*/
export class FrameCodec {
	#dictionary: Uint8Array = Buffer.alloc(0);

	/** Encodes a message into the next frame of the connection. */
	encode(message: PeerMessage): Uint8Array {
		const uncompressed = encoder.encode(toWire(message));
		const frame = deflateRawSync(uncompressed, {dictionary: this.#dictionary});
		this.#updateDictionary(uncompressed);
		return frame;
	}

	/** Decodes the next frame of the connection. Throws `BadFrameError`. */
	decode(frame: Uint8Array): PeerMessage {
		try {
			const uncompressed = inflateRawSync(frame, {dictionary: this.#dictionary, maxOutputLength: maxUncompressedBytes});
			this.#updateDictionary(uncompressed);
			const value: unknown = decoder.decode(uncompressed);
			checkDepth(value, maxDepth);
			return parseWire(value);
		} catch (error) {
			throw error instanceof BadFrameError ? error : new BadFrameError('frame cannot be decompressed or decoded', {cause: error});
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
		throw new BadFrameError('message is nested too deeply');
	}

	for (const item of Object.values(value)) {
		checkDepth(item, depth - 1);
	}
}

import {Buffer} from 'node:buffer';
import {BadFrameError} from '../errors/index.js';

const lengthBytes = 4;

/** Prefixes the bytes of a frame with their length. */
export function encodeFrame(bytes: Uint8Array): Uint8Array {
	const header = Buffer.alloc(lengthBytes);
	header.writeUInt32BE(bytes.length);
	return Buffer.concat([header, bytes]);
}

/** Splits the bytes that a connection receives into frames. */
export class FrameSplitter {
	/** Whether a frame exceeded the limit; nothing after it can be read. */
	hasOversizedFrame = false;
	readonly #maxFrameBytes: number;
	#buffered: Uint8Array = Buffer.alloc(0);

	constructor(maxFrameBytes: number) {
		this.#maxFrameBytes = maxFrameBytes;
	}

	/** Adds a received chunk and yields each frame that is complete. Throws `BadFrameError` on a frame that exceeds the limit. */
	* generateFrames(chunk: Uint8Array): Generator<Uint8Array, void> {
		this.#buffered = this.#buffered.length === 0 ? chunk : Buffer.concat([this.#buffered, chunk]);
		while (this.#buffered.length >= lengthBytes) {
			const view = new DataView(this.#buffered.buffer, this.#buffered.byteOffset, lengthBytes);
			const frameBytes = view.getUint32(0);
			if (frameBytes > this.#maxFrameBytes) {
				this.hasOversizedFrame = true;
				throw new BadFrameError(`frame of ${frameBytes} bytes exceeds the limit of ${this.#maxFrameBytes} bytes`);
			}

			if (this.#buffered.length < lengthBytes + frameBytes) {
				return;
			}

			const frame = this.#buffered.subarray(lengthBytes, lengthBytes + frameBytes);
			this.#buffered = this.#buffered.subarray(lengthBytes + frameBytes);
			yield frame;
		}
	}
}

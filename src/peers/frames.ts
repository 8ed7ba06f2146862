import {Buffer} from 'node:buffer';
import {BadFrameError} from '../errors/index.js';

const lengthBytes = 4;

/** Puts the length before a frame's bytes. */
export function encodeFrame(bytes: Uint8Array): Uint8Array {
	const header = Buffer.alloc(lengthBytes);
	header.writeUInt32BE(bytes.length);
	return Buffer.concat([header, bytes]);
}

/** Cuts a connection's bytes into the frames that were sent. */
export class FrameSplitter {
	/** Whether a frame came that is too long; nothing after it can be read. */
	hasOversizedFrame = false;
	readonly #maxFrameBytes: number;
	#buffered: Uint8Array = Buffer.alloc(0);

	constructor(maxFrameBytes: number) {
		this.#maxFrameBytes = maxFrameBytes;
	}

	/** Takes in a chunk and yields each frame that is whole. Throws `BadFrameError` on a frame that is too long. */
	* generateFrames(chunk: Uint8Array): Generator<Uint8Array, void> {
		this.#buffered = this.#buffered.length === 0 ? chunk : Buffer.concat([this.#buffered, chunk]);
		while (this.#buffered.length >= lengthBytes) {
			const view = new DataView(this.#buffered.buffer, this.#buffered.byteOffset, lengthBytes);
			const frameBytes = view.getUint32(0);
			if (frameBytes > this.#maxFrameBytes) {
				this.hasOversizedFrame = true;
				throw new BadFrameError(`a frame of ${frameBytes} bytes`);
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

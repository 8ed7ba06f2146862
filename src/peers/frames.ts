import {Buffer} from 'node:buffer';
import {BadFrameError} from '../errors/index.js';

const lengthBytes = 4;

/** Puts the length before a frame's bytes. */
export function encodeFrame(bytes: Uint8Array): Uint8Array {
	const head = Buffer.alloc(lengthBytes);
	head.writeUInt32BE(bytes.length);
	return Buffer.concat([head, bytes]);
}

/** Cuts a connection's bytes into the frames that were sent. */
export class FrameSplitter {
	/** Whether a frame came that is too long; nothing after it can be read. */
	hasLongFrame = false;
	readonly #longestBytes: number;
	#waiting: Uint8Array = Buffer.alloc(0);

	constructor(longestBytes: number) {
		this.#longestBytes = longestBytes;
	}

	/** Takes in a chunk and yields each frame that is whole. Throws `BadFrameError` on a frame that is too long. */
	* generateFrames(chunk: Uint8Array): Generator<Uint8Array, void> {
		this.#waiting = this.#waiting.length === 0 ? chunk : Buffer.concat([this.#waiting, chunk]);
		while (this.#waiting.length >= lengthBytes) {
			const view = new DataView(this.#waiting.buffer, this.#waiting.byteOffset, lengthBytes);
			const size = view.getUint32(0);
			if (size > this.#longestBytes) {
				this.hasLongFrame = true;
				throw new BadFrameError(`a frame of ${size} bytes`);
			}

			if (this.#waiting.length < lengthBytes + size) {
				return;
			}

			const frame = this.#waiting.subarray(lengthBytes, lengthBytes + size);
			this.#waiting = this.#waiting.subarray(lengthBytes + size);
			yield frame;
		}
	}
}

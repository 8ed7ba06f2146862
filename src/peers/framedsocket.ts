import {Socket} from 'node:net';
import {BadFrameError} from '../errors/index.js';
import {ChunkBuffer} from '../intake/index.js';
import type {Metrics} from '../metrics/index.js';
import {encodeFrame, FrameSplitter} from './frames.js';

/** Limits of one connection, in bytes. */
export type FrameLimits = {
	readonly maxFrameBytes: number;
	/** Largest amount that may wait to be sent; a connection whose reader is slower is closed. */
	readonly maxQueuedBytes: number;
};

/** Callbacks of a connection. An error of `onFrame` closes the connection; one other than `BadFrameError` is thrown on. */
export type FrameHandlers = {
	readonly onFrame: (frame: Uint8Array) => void;
	/** Called once, also when the connection could not be opened. */
	readonly onClose: () => void;
};

/** A connection that carries frames within limits and counts its bytes and faults in the metrics. */
export class FramedSocket {
	readonly #socket: Socket;
	readonly #metrics: Metrics;
	readonly #limits: FrameLimits;
	readonly #splitter: FrameSplitter;
	/** Frames that were put off until `sendPending`: merged, as thousands of short ones may be, each of which would cost some hundred bytes in the socket's queue. */
	#pending = new ChunkBuffer();

	constructor(socket: Socket, metrics: Metrics, limits: FrameLimits) {
		this.#socket = socket;
		this.#metrics = metrics;
		this.#limits = limits;
		this.#splitter = new FrameSplitter(limits.maxFrameBytes);
	}

	/** Starts to receive frames. */
	start(handlers: FrameHandlers): void {
		this.#socket.on('data', (chunk: Uint8Array) => {
			this.#metrics.count('peerBytes', 'received', chunk.length);
			this.#onData(chunk, handlers);
		});
		this.#socket.on('error', () => {
			this.#socket.destroy();
		});
		this.#socket.once('close', () => {
			handlers.onClose();
		});
	}

	/** Queues a frame. Does nothing on a closed connection, and closes a connection that has more than `maxQueuedBytes` waiting. */
	send(encode: () => Uint8Array): void {
		if (this.#socket.destroyed) {
			return;
		}

		if (this.#socket.writableLength > this.#limits.maxQueuedBytes) {
			this.abort('slow_link');
			return;
		}

		const frame = encodeFrame(encode());
		this.#metrics.count('peerBytes', 'sent', frame.length);
		this.#socket.write(frame);
	}

	/** Bytes that wait to be sent. */
	get queuedBytes(): number {
		return this.#socket.destroyed ? 0 : this.#socket.writableLength + this.#pending.lengthBytes;
	}

	/** Like `send`, but the frame is sent with others at the next `sendPending`. Returns whether it is the first of these. */
	enqueueFrame(encode: () => Uint8Array): boolean {
		if (this.#socket.destroyed) {
			return false;
		}

		if (this.queuedBytes > this.#limits.maxQueuedBytes) {
			this.abort('slow_link');
			return false;
		}

		const isFirst = this.#pending.lengthBytes === 0;
		this.#pending.add(encodeFrame(encode()));
		return isFirst;
	}

	/** Sends the frames that were put off. */
	sendPending(): void {
		const pending = this.#pending;
		if (pending.lengthBytes > 0 && !this.#socket.destroyed) {
			this.#pending = new ChunkBuffer();
			this.#metrics.count('peerBytes', 'sent', pending.lengthBytes);
			this.#socket.write(pending.joinChunks());
		}
	}

	/** Closes the connection and counts why. */
	abort(kind: string): void {
		this.#metrics.count('dropped', kind);
		this.#socket.destroy();
	}

	#onData(chunk: Uint8Array, {onFrame}: FrameHandlers): void {
		try {
			for (const frame of this.#splitter.generateFrames(chunk)) {
				onFrame(frame);
				if (this.#socket.destroyed) {
					return;
				}
			}
		} catch (error) {
			if (error instanceof BadFrameError) {
				this.abort(this.#splitter.hasOversizedFrame ? 'long_frame' : 'bad_frame');
				return;
			}

			// What else was in the chunk is lost, so the connection can't go on. The process logs the error.
			this.abort('failed_handler');
			throw error;
		}
	}
}

/** Opens a connection to `address` (`host:port`). Where that can't even be tried, returns a socket that emits the error and closes. */
export function openSocket(address: string): Socket {
	const socket = new Socket();
	try {
		const [host, port] = address.split(':');
		socket.connect({host, port: Number(port), noDelay: true});
	} catch (error) {
		socket.destroy(error as Error);
	}

	return socket;
}

import {connect, createServer} from 'node:net';
import type {Server, Socket} from 'node:net';
import {PeerLink, PeerNetwork} from '../feed/index.js';
import type {LinkHandlers, PeerMessage} from '../feed/index.js';
import type {Metrics} from '../metrics/index.js';
import {BadFrameError} from '../errors/index.js';
import {FrameCodec, maxFrameBytes} from './codec.js';
import {encodeFrame, FrameSplitter} from './frames.js';

/** Most bytes that may wait for one connection; a slower reader is cut off and repaired by anti-entropy. */
const maxQueuedBytes = 4_000_000;

/** Connections between entries over TCP: frames of a length and a compressed CBOR message. */
export class TcpNetwork extends PeerNetwork {
	readonly #metrics: Metrics;
	readonly #links = new Set<TcpLink>();
	readonly #servers = new Set<Server>();

	constructor(metrics: Metrics) {
		super();
		this.#metrics = metrics;
	}

	open(address: string, handlers: LinkHandlers): PeerLink {
		const [host, port] = address.split(':');
		const link = this.#addLink(connect({host, port: Number(port), noDelay: true}));
		link.start(handlers);
		return link;
	}

	async serve(address: string, onLink: (link: PeerLink) => LinkHandlers): Promise<void> {
		const [host, port] = address.split(':');
		const server = createServer({noDelay: true}, socket => {
			const link = this.#addLink(socket);
			link.start(onLink(link));
		});
		this.#servers.add(server);
		await new Promise<void>((resolve, reject) => {
			server.once('error', reject);
			server.listen(Number(port), host, resolve);
		});
	}

	async close(): Promise<void> {
		for (const server of this.#servers) {
			server.close();
		}

		for (const link of this.#links) {
			link.finish();
		}
	}

	#addLink(socket: Socket): TcpLink {
		const link = new TcpLink(socket, this.#metrics);
		this.#links.add(link);
		socket.once('close', () => {
			this.#links.delete(link);
		});
		return link;
	}
}

class TcpLink extends PeerLink {
	readonly #socket: Socket;
	readonly #metrics: Metrics;
	readonly #sent = new FrameCodec();
	readonly #received = new FrameCodec();
	readonly #splitter = new FrameSplitter(maxFrameBytes);

	constructor(socket: Socket, metrics: Metrics) {
		super();
		this.#socket = socket;
		this.#metrics = metrics;
	}

	start(handlers: LinkHandlers): void {
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

	send(message: PeerMessage): void {
		if (this.#socket.destroyed) {
			return;
		}

		if (this.#socket.writableLength > maxQueuedBytes) {
			this.#metrics.count('dropped', 'slow_link');
			this.#socket.destroy();
			return;
		}

		const frame = encodeFrame(this.#sent.encode(message));
		this.#metrics.count('peerBytes', 'sent', frame.length);
		this.#socket.write(frame);
	}

	close(): void {
		this.#socket.destroy();
	}

	/** Closes after what waits was handed over. */
	finish(): void {
		this.#socket.destroySoon();
	}

	#onData(chunk: Uint8Array, handlers: LinkHandlers): void {
		try {
			for (const frame of this.#splitter.generateFrames(chunk)) {
				this.#onFrame(frame, handlers);
				if (this.#socket.destroyed) {
					return;
				}
			}
		} catch (error) {
			if (!(error instanceof BadFrameError)) {
				throw error;
			}

			this.#refuseFrame('long_frame');
		}
	}

	#onFrame(frame: Uint8Array, handlers: LinkHandlers): void {
		let message: PeerMessage;
		try {
			message = this.#received.decode(frame);
		} catch {
			this.#refuseFrame('bad_frame');
			return;
		}

		handlers.onMessage(message);
	}

	#refuseFrame(kind: string): void {
		this.#metrics.count('dropped', kind);
		this.#socket.destroy();
	}
}

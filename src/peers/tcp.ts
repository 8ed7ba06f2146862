import {createServer} from 'node:net';
import type {Server, Socket} from 'node:net';
import {PeerLink, PeerNetwork} from '../feed/index.js';
import type {LinkHandlers, PeerMessage} from '../feed/index.js';
import type {Metrics} from '../metrics/index.js';
import {FrameCodec, maxFrameBytes} from './codec.js';
import {FramedSocket, openSocket} from './framedsocket.js';

/**
Bytes that may wait to be sent on one connection. A connection whose reader is slower is closed; anti-entropy repairs what
the reader missed.
*/
const maxQueuedBytes = 4_000_000;

/** Connections between entries over TCP: each frame is a length and a compressed CBOR message. */
export class TcpPeerNetwork extends PeerNetwork {
	readonly #metrics: Metrics;
	readonly #links = new Set<TcpLink>();
	readonly #servers = new Set<Server>();

	constructor(metrics: Metrics) {
		super();
		this.#metrics = metrics;
	}

	open(address: string, handlers: LinkHandlers): PeerLink {
		const link = this.#addLink(openSocket(address));
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
	readonly #framedSocket: FramedSocket;
	readonly #encoder = new FrameCodec();
	readonly #decoder = new FrameCodec();

	constructor(socket: Socket, metrics: Metrics) {
		super();
		this.#socket = socket;
		this.#framedSocket = new FramedSocket(socket, metrics, {maxFrameBytes, maxQueuedBytes});
	}

	start(handlers: LinkHandlers): void {
		this.#framedSocket.start({
			onFrame: frame => {
				handlers.onMessage(this.#decoder.decode(frame));
			},
			onClose: handlers.onClose,
		});
	}

	send(message: PeerMessage): void {
		this.#framedSocket.send(() => this.#encoder.encode(message));
	}

	close(): void {
		this.#socket.destroy();
	}

	/** Closes the connection after the queued messages were written. */
	finish(): void {
		this.#socket.destroySoon();
	}
}

import {createServer} from 'node:net';
import type {Server, Socket} from 'node:net';
import {Decoder, Encoder} from 'cbor-x';
import {BadFrameError} from '../errors/index.js';
import type {Metrics} from '../metrics/index.js';
import {FramedSocket, openSocket} from './framedsocket.js';

/** Largest message, in bytes. */
const maxMessageBytes = 65_536;
/** Bytes that may wait to be sent on one connection; a connection whose reader is slower is closed. */
const maxQueuedBytes = 1_000_000;

/** Size up to which the queue of a connection may grow also when all queues together are at their bound, in bytes. */
const minQueuedBytes = 131_072;

/** Messages that another entry may send on one connection in an interval, in milliseconds: four times as many as all 500 requests a second of a deployment lead to. */
const maxMessagesPerInterval = 8192;
const rateIntervalMs = 1000;

const cborOptions = {useRecords: false, mapsAsObjects: true, variableMapSize: true} as const;
const encoder = new Encoder(cborOptions);
const decoder = new Decoder(cborOptions);

/** Callbacks of a connection. */
export type MessageHandlers = {
	/** Called with the decoded, unvalidated content of a message; may throw `BadFrameError`, which closes the connection. */
	readonly onMessage: (items: unknown) => void;
	/** Called once, also when the connection could not be opened. */
	readonly onClose: () => void;
};

/** A connection that carries short messages in both directions. */
export abstract class MessageLink {
	/** Queues a message; messages that are queued in one turn of the event loop are sent together. */
	abstract send(items: readonly unknown[]): void;

	/** Closes the connection; `onClose` is called once. */
	abstract close(): void;
}

/** Opens and accepts connections for short messages between entries. */
export abstract class MessageNetwork {
	/** Opens a connection to `address` (`host:port`); messages that are sent before it is open are queued. */
	abstract open(address: string, handlers: MessageHandlers): MessageLink;

	/** Accepts connections at `address` (`host:port`); `onLink` returns the handlers of each. */
	abstract serve(address: string, onLink: (link: MessageLink) => MessageHandlers): Promise<void>;

	/** Closes every connection and accepts no more. */
	abstract close(): void;
}

/** Bounds on all connections of a network together. */
export type NetworkLimits = {
	/** Connections that others have opened. */
	readonly maxAccepted: number;
	/** Bytes that may wait to be sent. */
	readonly maxQueuedBytes: number;
	/** Reads a monotonic clock, in milliseconds. */
	readonly getNow: () => number;
};

/** Bytes that wait to be sent on all connections of a network. */
type QueueTotal = {queuedBytes: number; readonly maxQueuedBytes: number};

/** Connections for short messages over TCP: each frame is a length and a CBOR list. */
export class TcpMessageNetwork extends MessageNetwork {
	readonly #metrics: Metrics;
	readonly #links = new Set<TcpMessageLink>();
	readonly #servers = new Set<Server>();
	readonly #limits: NetworkLimits | undefined;
	readonly #total: QueueTotal;
	/** Connections that others have opened, the one that has been silent for longest first. */
	readonly #accepted = new Map<Socket, {since: number; count: number}>();

	/** Without limits, only each connection by itself is bounded. */
	constructor(metrics: Metrics, limits?: NetworkLimits) {
		super();
		this.#metrics = metrics;
		this.#limits = limits;
		this.#total = {queuedBytes: 0, maxQueuedBytes: limits?.maxQueuedBytes ?? Number.POSITIVE_INFINITY};
	}

	open(address: string, handlers: MessageHandlers): MessageLink {
		return this.#addLink(openSocket(address), () => handlers);
	}

	async serve(address: string, onLink: (link: MessageLink) => MessageHandlers): Promise<void> {
		const [host, port] = address.split(':');
		const server = createServer({noDelay: true}, socket => {
			this.#addAccepted(socket);
			this.#addLink(socket, onLink);
		});
		this.#servers.add(server);
		await new Promise<void>((resolve, reject) => {
			server.once('error', reject);
			server.listen(Number(port), host, resolve);
		});
	}

	close(): void {
		for (const server of this.#servers) {
			server.close();
		}

		for (const link of this.#links) {
			link.close();
		}
	}

	/** Keeps the number of accepted connections within its bound: entries send several messages a second, so the one that has been silent for longest is closed. */
	#addAccepted(socket: Socket): void {
		this.#accepted.set(socket, {since: Number.NEGATIVE_INFINITY, count: 0});
		socket.once('close', () => {
			this.#accepted.delete(socket);
		});
		if (this.#accepted.size > (this.#limits?.maxAccepted ?? Number.POSITIVE_INFINITY)) {
			const [silent] = this.#accepted.keys();
			this.#accepted.delete(silent!);
			this.#metrics.count('dropped', 'peer_connection');
			silent!.destroy();
		}
	}

	/** Notes a message, and tells whether its connection sends no more than an entry would. Connections that this process has opened are not limited. */
	#isWithinRate(socket: Socket): boolean {
		const rate = this.#accepted.get(socket);
		if (!rate || !this.#limits) {
			return true;
		}

		// The latest sender becomes the last in the order of the map.
		this.#accepted.delete(socket);
		this.#accepted.set(socket, rate);
		const now = this.#limits.getNow();
		if (now - rate.since >= rateIntervalMs) {
			rate.since = now;
			rate.count = 0;
		}

		rate.count++;
		return rate.count <= maxMessagesPerInterval;
	}

	#addLink(socket: Socket, onLink: (link: MessageLink) => MessageHandlers): MessageLink {
		const link = new TcpMessageLink(socket, this.#metrics, this.#total, () => this.#isWithinRate(socket));
		this.#links.add(link);
		link.start(onLink(link));
		socket.once('close', () => {
			this.#links.delete(link);
		});
		return link;
	}
}

class TcpMessageLink extends MessageLink {
	readonly #socket: Socket;
	readonly #framedSocket: FramedSocket;
	readonly #total: QueueTotal;
	/** Called at each message; tells whether the connection may stay open. */
	readonly #isWithinRate: () => boolean;
	/** Bytes of this connection that are counted in the total. */
	#queuedBytes = 0;

	constructor(socket: Socket, metrics: Metrics, total: QueueTotal, isWithinRate: () => boolean) {
		super();
		this.#socket = socket;
		this.#total = total;
		this.#isWithinRate = isWithinRate;
		socket.on('drain', () => {
			this.#countQueued(0);
		});
		socket.once('close', () => {
			this.#countQueued(0);
		});
		this.#framedSocket = new FramedSocket(socket, metrics, {maxFrameBytes: maxMessageBytes, maxQueuedBytes});
	}

	start(handlers: MessageHandlers): void {
		this.#framedSocket.start({
			onFrame: frame => {
				if (!this.#isWithinRate()) {
					this.#framedSocket.abort('peer_rate');
					return;
				}

				handlers.onMessage(decodeItems(frame));
			},
			onClose: handlers.onClose,
		});
	}

	send(items: readonly unknown[]): void {
		if (this.#framedSocket.enqueueFrame(() => encoder.encode(items))) {
			setImmediate(() => {
				this.#framedSocket.sendPending();
				this.#countQueued(this.#framedSocket.queuedBytes);
			});
		}

		this.#countQueued(this.#framedSocket.queuedBytes);
		if (this.#total.queuedBytes > this.#total.maxQueuedBytes && this.#queuedBytes > minQueuedBytes) {
			this.#framedSocket.abort('slow_links');
		}
	}

	close(): void {
		this.#socket.destroy();
	}

	#countQueued(queuedBytes: number): void {
		this.#total.queuedBytes += queuedBytes - this.#queuedBytes;
		this.#queuedBytes = queuedBytes;
	}
}

function decodeItems(frame: Uint8Array): unknown {
	try {
		return decoder.decode(frame) as unknown;
	} catch (error) {
		throw new BadFrameError('message cannot be decoded', {cause: error});
	}
}

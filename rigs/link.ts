import {createServer, connect} from 'node:net';
import {performance} from 'node:perf_hooks';
import type {AddressInfo, Socket} from 'node:net';

/** What a link does to the connections through it; applies to open and new connections alike. */
export const linkState = {
	/** Forwards everything. */
	open: 'open',
	/** Closes all connections, and new ones at once. */
	cut: 'cut',
	/** Accepts connections and bytes, and drops the bytes of both directions. */
	silent: 'silent',
	/** Drops what is sent to the target, and forwards what it sends. */
	silentToTarget: 'silent to the target',
	/** Forwards what is sent to the target, and drops what it sends. */
	silentFromTarget: 'silent from the target',
} as const;

/** See {@link linkState}. */
export type LinkState = (typeof linkState)[keyof typeof linkState];

/** A client's connection and the one to the target that its bytes are relayed to; a forgotten one drops all bytes. */
type ProxiedConnection = {readonly client: Socket; readonly server: Socket; isForgotten: boolean};

/**
A network link to one process: a TCP proxy that a test can cut, slow down or make silent.

@example
```
const link = new Link('127.0.0.1:7101');
await link.start();
link.state = linkState.silent;
```
*/
export class Link {
	/** Address that the link listens on, `host:port`; empty before the start. */
	address = '';
	/** Delay of bytes that arrive from now on, in each direction, in milliseconds; bytes keep their order. */
	delayMs = 0;
	readonly #connections = new Set<ProxiedConnection>();
	readonly #target: string;
	readonly #localAddress: string | undefined;
	readonly #server = createServer(client => {
		this.#onConnection(client);
	});

	#state: LinkState = linkState.open;

	/** Takes the target's address, `host:port`, and the local IP address from which the link connects to it, which the target sees as its client's. */
	constructor(target: string, localAddress?: string) {
		this.#target = target;
		this.#localAddress = localAddress;
	}

	get state(): LinkState {
		return this.#state;
	}

	set state(state: LinkState) {
		this.#state = state;
		if (state === linkState.cut) {
			this.#abortConnections();
		}
	}

	/** Resets every open connection towards its client and closes it towards the target; new connections work. */
	resetConnections(): void {
		for (const {client, server} of this.#connections) {
			client.resetAndDestroy();
			server.destroy();
		}
	}

	/** Listens on a free port on loopback. */
	async start(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
		const {address, port} = this.#server.address() as AddressInfo;
		this.address = `${address}:${port}`;
	}

	/** Drops all further bytes of the open connections, as a firewall does that has lost its connection table; new connections work. */
	forgetConnections(): void {
		for (const connection of this.#connections) {
			connection.isForgotten = true;
		}
	}

	/** Counts the open connections of clients. */
	countConnections(): number {
		return this.#connections.size;
	}

	/** Closes all connections and stops listening. */
	async close(): Promise<void> {
		this.#abortConnections();
		await new Promise(resolve => {
			this.#server.close(resolve);
		});
	}

	#abortConnections(): void {
		for (const {client, server} of this.#connections) {
			client.destroy();
			server.destroy();
		}
	}

	#onConnection(client: Socket): void {
		if (this.#state === linkState.cut) {
			client.destroy();
			return;
		}

		const [host, port] = this.#target.split(':');
		const server = connect({host, port: Number(port), localAddress: this.#localAddress});
		const connection: ProxiedConnection = {client, server, isForgotten: false};
		this.#connections.add(connection);
		const {silent, silentToTarget, silentFromTarget} = linkState;
		this.#relayBytes(client, server, () => connection.isForgotten || this.#state === silent || this.#state === silentToTarget);
		this.#relayBytes(server, client, () => connection.isForgotten || this.#state === silent || this.#state === silentFromTarget);
		client.on('close', () => {
			this.#connections.delete(connection);
		});
	}

	/** Relays one direction of a connection, delayed by {@link delayMs}; drops bytes while `isSilent`. */
	#relayBytes(source: Socket, destination: Socket, isSilent: () => boolean): void {
		source.setNoDelay(true);
		let lastDeliveryAt = 0;
		const delayedChunks: Uint8Array[] = [];
		const writeChunk = (data: Uint8Array) => {
			if (!isSilent() && !destination.destroyed && !destination.write(data)) {
				source.pause();
				destination.once('drain', () => {
					source.resume();
				});
			}
		};

		source.on('data', data => {
			const now = performance.now();
			lastDeliveryAt = Math.max(lastDeliveryAt, now + this.delayMs);
			if (lastDeliveryAt > now || delayedChunks.length > 0) {
				// A timer with a shorter delay may fire before an older one, so each writes the oldest chunk.
				delayedChunks.push(data);
				setTimeout(() => {
					writeChunk(delayedChunks.shift()!);
				}, lastDeliveryAt - now);
			} else {
				writeChunk(data);
			}
		});
		// A reset is passed on as a reset: a clean end would make an answer without a length look complete.
		let isReset = false;
		// A silent link drops the end of a connection as well, and leaves the other side waiting.
		source.on('close', () => {
			if (!isSilent()) {
				setTimeout(() => {
					if (isReset) {
						destination.resetAndDestroy();
					} else {
						destination.destroy();
					}
				}, Math.max(0, lastDeliveryAt - performance.now()));
			}
		});
		source.on('error', error => {
			isReset = (error as NodeJS.ErrnoException).code === 'ECONNRESET';
			source.destroy();
		});
	}
}

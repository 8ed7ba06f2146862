import {createServer, connect} from 'node:net';
import {performance} from 'node:perf_hooks';
import type {AddressInfo, Socket} from 'node:net';

/** What a link does to the connections through it. */
export const linkState = {
	open: 'open',
	/** Cut both ways: connections are closed and none is taken. */
	cut: 'cut',
	/** Everything is taken and nothing arrives, either way, on old and new connections. */
	silent: 'silent',
	/** Nothing arrives at the target; what it sends arrives. */
	silentToTarget: 'silent to the target',
	/** What is sent arrives at the target; nothing comes back. */
	silentFromTarget: 'silent from the target',
} as const;

/** See {@link linkState}. */
export type LinkState = (typeof linkState)[keyof typeof linkState];

type ProxiedConnection = {readonly client: Socket; readonly server: Socket; isForgotten: boolean};

/**
A TCP link to one process, which a test cuts or makes silent.

@example
```
const link = new Link('127.0.0.1:7101');
await link.start();
link.state = linkState.silent;
```
*/
export class Link {
	/** Where it listens, `host:port`. */
	address = '';
	/** Delay of what is sent from now on, each way, in milliseconds; bytes keep their order. */
	delayMs = 0;
	readonly #connections = new Set<ProxiedConnection>();
	readonly #target: string;
	readonly #localAddress: string | undefined;
	readonly #server = createServer(client => {
		this.#onConnection(client);
	});

	#state: LinkState = linkState.open;

	/** Takes the target's address, `host:port`, and the address that the target shall see as its caller's. */
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

	/** Resets every connection that is open now; new ones work. */
	resetConnections(): void {
		for (const {client, server} of this.#connections) {
			client.resetAndDestroy();
			server.destroy();
		}
	}

	/** Listens on a free port of loopback. */
	async start(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
		const {address, port} = this.#server.address() as AddressInfo;
		this.address = `${address}:${port}`;
	}

	/** Makes every connection that is open now silent for good; new ones work. */
	forgetConnections(): void {
		for (const connection of this.#connections) {
			connection.isForgotten = true;
		}
	}

	/** Counts the open connections. */
	countConnections(): number {
		return this.#connections.size;
	}

	/** Closes everything. */
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
				// Timers of different delays may pass one another: each writes the oldest.
				delayedChunks.push(data);
				setTimeout(() => {
					writeChunk(delayedChunks.shift()!);
				}, lastDeliveryAt - now);
			} else {
				writeChunk(data);
			}
		});
		// A reset arrives as one: without a length, an answer's clean end would make it look whole.
		let isReset = false;
		// An end that is lost on the way leaves the other side waiting, as bytes do.
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

import type {Socket} from 'node:net';
import {Client} from 'undici';
import {NotRunError} from '../errors/index.js';
import type {TimerService} from '../timers/index.js';
import {createConnector} from './connector.js';

const connectTimeoutMs = 1000;
const probeTimeoutMs = 500;

/** Code of the error with which the connector refuses to open a second socket. */
const reconnectRefusedCode = 'CROCUS_ONLY_SOCKET';

/**
A single socket to an upstream, and an HTTP client that uses it. The client never opens another socket, so that it can't send a
request again over a new connection of its own accord.
*/
export class LiveConnection {
	readonly client: Client;
	#socket: Socket | undefined;
	#isLost = false;
	readonly #timers: TimerService;

	constructor(address: string, timers: TimerService) {
		this.#timers = timers;
		const connect = createConnector(connectTimeoutMs);
		this.client = new Client(`http://${address}`, {
			pipelining: 1,
			headersTimeout: 0,
			bodyTimeout: 0,
			connect: (options, callback) => {
				if (this.#socket) {
					callback(Object.assign(new Error('the connection was lost'), {code: reconnectRefusedCode}), null);
					return;
				}

				connect(options, (...[error, socket]) => {
					if (error) {
						callback(error, null);
						return;
					}

					this.#socket = socket;
					socket.once('close', () => {
						this.#isLost = true;
					});
					callback(null, socket);
				});
			},
		});
	}

	/** Whether the socket is open. */
	get isOpen(): boolean {
		return this.#socket !== undefined && !this.#isLost && !this.#socket.destroyed && this.#socket.writable;
	}

	/** Requests `path` and waits for the whole answer. Throws `NotRunError` on failure, since nothing but the probe was sent. */
	async probe(path: string, signal: AbortSignal): Promise<void> {
		const timeout = new AbortController();
		const timer = this.#timers.startTimeout(probeTimeoutMs, () => {
			timeout.abort();
		});
		try {
			const response = await this.client.request({method: 'GET', path, signal: AbortSignal.any([signal, timeout.signal])});
			await response.body.dump();
		} catch (error) {
			throw new NotRunError('the connection does not answer', {cause: error, props: {isUnreached: true}});
		} finally {
			timer.cancel();
		}
	}

	/** Closes the socket. */
	close(): void {
		void this.client.destroy();
	}
}

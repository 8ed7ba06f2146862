import type {Socket} from 'node:net';
import {Client} from 'undici';
import type {Dispatcher} from 'undici';
import {NotRunError} from '../errors/index.js';
import {createConnector} from './connector.js';

/** Limits on a {@link SoleConnection}, in milliseconds. */
export type SoleConnectionLimits = {
	readonly connectTimeoutMs: number;
	/** Time in which the answer has to begin, and between two parts of it. */
	readonly controlTimeoutMs: number;
};

/** An open connection that is never replaced by another one: what is sent on it reaches the process that has accepted it, or none. */
export class SoleConnection {
	/** Opens a connection to `address` (`host:port`). Throws `NotRunError` when that fails. */
	static async open(address: string, limits: SoleConnectionLimits): Promise<SoleConnection> {
		const [hostname = '', port = ''] = address.split(':');
		const socket = await new Promise<Socket>((resolve, reject) => {
			createConnector(limits.connectTimeoutMs)({hostname, port, protocol: 'http:'}, (...[error, opened]) => {
				if (error) {
					reject(new NotRunError(`no connection to ${address}`, {cause: error, props: {isUnreached: true}}));
				} else {
					resolve(opened);
				}
			});
		});
		return new SoleConnection(address, socket, limits);
	}

	/** Sends on this connection. */
	readonly dispatcher: Dispatcher;
	readonly #socket: Socket;

	private constructor(address: string, socket: Socket, {controlTimeoutMs}: SoleConnectionLimits) {
		this.#socket = socket;
		let isTaken = false;
		this.dispatcher = new Client(`http://${address}`, {
			pipelining: 1,
			headersTimeout: controlTimeoutMs,
			bodyTimeout: controlTimeoutMs,
			connect(_options, callback) {
				const isLost = isTaken;
				isTaken = true;
				// The client expects no call before `connect` returns.
				queueMicrotask(() => {
					if (isLost) {
						callback(new Error('the connection was lost'), null);
					} else {
						callback(null, socket);
					}
				});
			},
		});
	}

	/** Whether nothing shows that the connection has ended. */
	get isOpen(): boolean {
		return !this.#socket.destroyed && this.#socket.writable && this.#socket.readable;
	}

	/** Closes the connection. */
	close(): void {
		void this.dispatcher.destroy();
		this.#socket.destroy();
	}
}

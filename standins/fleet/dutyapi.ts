import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {readJson, sendJson} from '../http.js';

/** A call of a duty's holder, as it arrived. */
export type DutyCall = {
	readonly path: string;
	readonly holder: string;
	readonly number: number;
	readonly body: Record<string, unknown>;
	/** Time of day at which it arrived, in milliseconds. */
	readonly at: number;
};

/** How the stand-in answers calls. */
export const dutyApiMode = {
	up: 'up',
	/** Answers 503 and does nothing. */
	refusing: 'refusing',
	/** Records the call and closes the connection without an answer. */
	losing: 'losing',
	/** Records the call and never answers. */
	silent: 'silent',
	/** Answers 409. */
	conflicting: 'conflicting',
} as const;

/** See {@link dutyApiMode}. */
export type DutyApiMode = (typeof dutyApiMode)[keyof typeof dutyApiMode];

/** Stand-in for the calls of the users' platform that only the holder of a duty may make. */
export class FleetDutyApi {
	mode: DutyApiMode = dutyApiMode.up;
	readonly calls: DutyCall[] = [];
	/** Connections that were reset before their call was answered. */
	resetCount = 0;
	readonly #server: Server;

	constructor() {
		this.#server = createServer((request, response) => {
			void this.#serve(request, response);
		});
	}

	/** Address that it listens at, `host:port`. */
	get address(): string {
		const {port} = this.#server.address() as AddressInfo;
		return `127.0.0.1:${port}`;
	}

	/** Starts to listen at a free port. */
	async start(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
	}

	/** Stops listening and closes every connection. */
	async stop(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
			this.#server.closeAllConnections();
		});
	}

	async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
		request.socket.on('error', () => {
			this.resetCount++;
		});
		if (this.mode === dutyApiMode.refusing) {
			sendJson(response, 503, {error: 'down'});
			return;
		}

		const body = await readJson(request) as Record<string, unknown>;
		this.calls.push({
			path: request.url ?? '', holder: String(request.headers['crocusworks-duty-holder']), number: Number(request.headers['crocusworks-fence-token']), body, at: Date.now(),
		});
		if (this.mode === dutyApiMode.losing) {
			request.socket.destroy();
		} else if (this.mode !== dutyApiMode.silent) {
			sendJson(response, this.mode === dutyApiMode.conflicting ? 409 : 200, {});
		}
	}
}

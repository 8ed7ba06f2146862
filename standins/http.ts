import {Buffer} from 'node:buffer';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Polka} from 'polka';

/** Largest request body that a stand-in accepts, in bytes. */
const maxBodyBytes = 16_000_000;

/** A stand-in's HTTP server that is listening. */
export type ListeningServer = {
	/** Address that the server is bound to, `host:port`. */
	readonly address: string;
	/** Stops listening and closes every open connection. */
	readonly close: () => Promise<void>;
};

/** Reads a whole request body. Throws `RangeError` when it is larger than `maxBodyBytes`. */
export async function readBody(request: IncomingMessage): Promise<Uint8Array> {
	const chunks: Uint8Array[] = [];
	let byteCount = 0;
	for await (const chunk of request as AsyncIterable<Uint8Array>) {
		byteCount += chunk.length;
		if (byteCount > maxBodyBytes) {
			throw new RangeError(`a body may have ${maxBodyBytes} bytes`);
		}

		chunks.push(chunk);
	}

	return Buffer.concat(chunks);
}

/** Reads a whole request body and parses it as JSON. Throws `RangeError` as `readBody` does, and `SyntaxError`. */
export async function readJson(request: IncomingMessage): Promise<unknown> {
	return JSON.parse(new TextDecoder().decode(await readBody(request))) as unknown;
}

/** Sends an answer with a JSON body. */
export function sendJson(response: ServerResponse, status: number, body: unknown, headers: Record<string, string> = {}): void {
	const bytes = Buffer.from(JSON.stringify(body));
	response.writeHead(status, {'content-type': 'application/json', 'content-length': bytes.length, ...headers});
	response.end(bytes);
}

/** Starts the HTTP server of `app` at `address`, `host:port`; port 0 binds to a free port. */
export async function startListening(app: Polka, address: string): Promise<ListeningServer> {
	const [host, port] = address.split(':');
	await new Promise<void>(resolve => {
		app.listen(Number(port), host, resolve);
	});
	const server = app.server as Server;
	const boundAddress = server.address() as AddressInfo;
	return {
		address: `${boundAddress.address}:${boundAddress.port}`,
		async close() {
			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
				server.closeAllConnections();
			});
		},
	};
}

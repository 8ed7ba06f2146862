import {createServer} from 'node:net';
import type {AddressInfo, Server} from 'node:net';

/** Placeholder in an answer's text for the id of the request that it answers. */
export const requestIdPlaceholder = '{id}';

/** How an answer marks its end; each value is the header field that says so. */
export const cutFraming = {length: 'Content-Length: 5\r\n', chunked: 'Transfer-Encoding: chunked\r\n', connectionEnd: ''} as const;

/** See {@link cutFraming}. */
export type CutFraming = (typeof cutFraming)[keyof typeof cutFraming];

/** Text of the whole body that {@link createAnswerText} frames. */
export const cutAnswerBody = 'hello';

/** Creates the text of a whole answer. `fields` are header fields, each ended by a line break; the framing comes before or after them. */
export function createAnswerText(framing: CutFraming, fields: string, {isFramingFirst = true, version = '1.1', informational = ''} = {}): string {
	const body = framing === cutFraming.chunked ? '2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n' : cutAnswerBody;
	return `${informational}HTTP/${version} 200 OK\r\n${isFramingFirst ? framing + fields : fields + framing}\r\n${body}`;
}

/** Server that answers each request with the first bytes of a text and then closes the connection, or resets it. */
export class CutServer {
	text = '';
	/** Number of bytes of the text that are sent. */
	sentBytes = 0;
	isReset = false;
	readonly #server: Server;

	/** `idHeader` is the request's header field whose value replaces {@link requestIdPlaceholder}. */
	constructor(idHeader: string) {
		const pattern = new RegExp(`^${idHeader}: *(?<id>\\S+)`, 'imv');
		this.#server = createServer(socket => {
			let received = '';
			socket.on('error', () => {
				// The client may close first.
			});
			socket.on('data', (chunk: Uint8Array) => {
				received += new TextDecoder().decode(chunk);
				if (!received.includes('\r\n\r\n')) {
					return;
				}

				const id = pattern.exec(received)?.groups?.id ?? '';
				received = '';
				const {isReset} = this;
				socket.write(this.text.replaceAll(requestIdPlaceholder, id).slice(0, this.sentBytes), () => {
					if (isReset) {
						socket.resetAndDestroy();
					} else {
						socket.end();
					}
				});
			});
		});
	}

	/** Address that the server listens at, `host:port`. */
	get address(): string {
		return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	async start(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
	}

	stop(): void {
		this.#server.close();
	}
}

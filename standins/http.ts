import type {IncomingMessage, ServerResponse} from 'node:http';

/** Reads a JSON body. */
export async function readJson(request: IncomingMessage): Promise<unknown> {
	let text = '';
	for await (const chunk of request) {
		text += String(chunk);
	}

	return JSON.parse(text) as unknown;
}

/** Sends a JSON answer. */
export function sendJson(response: ServerResponse, status: number, body: unknown): void {
	response.writeHead(status, {'content-type': 'application/json'});
	response.end(JSON.stringify(body));
}

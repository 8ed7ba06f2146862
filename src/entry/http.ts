import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
	BadRequestError, NotRunError, refusalReason, UnknownOutcomeError,
} from '../errors/index.js';
import {createErrorBody} from '../serving/index.js';

const maxBodyBytes = 8_000_000;

/** Reads a body whole. Throws `BadRequestError` when it is too large. */
export async function readBody(request: IncomingMessage): Promise<Uint8Array> {
	const chunks: Uint8Array[] = [];
	let size = 0;
	for await (const chunk of request as AsyncIterable<Uint8Array>) {
		size += chunk.length;
		if (size > maxBodyBytes) {
			throw new BadRequestError(`a body may have ${maxBodyBytes} bytes`);
		}

		chunks.push(chunk);
	}

	return Buffer.concat(chunks);
}

/** Reads a JSON body. Throws `BadRequestError`. */
export async function readJson(request: IncomingMessage): Promise<unknown> {
	const body = await readBody(request);
	try {
		return JSON.parse(new TextDecoder().decode(body)) as unknown;
	} catch (error) {
		throw new BadRequestError('the body is not JSON', {cause: error});
	}
}

/** Sends a JSON answer. */
export function sendJson(response: ServerResponse, status: number, body: unknown, headers: Record<string, string> = {}): void {
	response.writeHead(status, {'content-type': 'application/json', ...headers});
	response.end(JSON.stringify(body));
}

/** Sends the typed answer of a refusal or failure; a stream that has begun is cut, so that its end marker is missing. */
export function sendFailure(response: ServerResponse, error: unknown): void {
	if (response.headersSent) {
		response.destroy();
		return;
	}

	if (error instanceof BadRequestError) {
		sendJson(response, 400, createErrorBody(error, refusalReason.badRequest, 'no'));
	} else if (error instanceof NotRunError) {
		const headers = {'retry-after': String(Math.ceil(error.retryAfterMs / 1000))};
		const status = error.reason === refusalReason.unknownModel ? 404 : 503;
		sendJson(response, status, createErrorBody(error, error.reason, 'no', error.retryAfterMs), headers);
	} else {
		const failure = error instanceof Error ? error : new UnknownOutcomeError(String(error));
		sendJson(response, 502, createErrorBody(failure, 'unknown_outcome', 'unknown'));
	}
}

import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
	BadRequestError, NotRunError, refusalReason,
} from '../errors/index.js';
import type {RefusalReason} from '../errors/index.js';
import type {Metrics} from '../metrics/index.js';
import {createErrorBody, decideRequestOutcome, decideErrorAnswer} from '../serving/index.js';
import type {ErrorAnswer} from '../serving/index.js';
import {upstreamHeader} from '../upstreams/index.js';

const maxBodyBytes = 8_000_000;
const refusalReasons = new Set<string>(Object.values(refusalReason));

/** Reads the whole body of a request. Throws `BadRequestError` when it is larger than `maxBodyBytes` or the connection breaks off. */
export async function readBody(request: IncomingMessage): Promise<Uint8Array> {
	const chunks: Uint8Array[] = [];
	let size = 0;
	try {
		for await (const chunk of request as AsyncIterable<Uint8Array>) {
			size += chunk.length;
			if (size > maxBodyBytes) {
				break;
			}

			chunks.push(chunk);
		}
	} catch (error) {
		throw new BadRequestError('the body broke off', {cause: error});
	}

	if (size > maxBodyBytes) {
		throw createBadRequest('body', `more than ${maxBodyBytes} bytes`, `at most ${maxBodyBytes} bytes`);
	}

	return Buffer.concat(chunks);
}

/** Reads a JSON body. Throws `BadRequestError` as {@link readBody} does, and when the body is not JSON. */
export async function readJson(request: IncomingMessage): Promise<unknown> {
	const body = await readBody(request);
	try {
		return JSON.parse(new TextDecoder().decode(body)) as unknown;
	} catch {
		throw createBadRequest('body', 'text that is not JSON', 'JSON');
	}
}

/** Sends a complete JSON answer. */
export function sendJson(response: ServerResponse, status: number, body: unknown, headers: Readonly<Record<string, string>> = {}): void {
	response.writeHead(status, {'content-type': 'application/json', ...headers});
	response.end(JSON.stringify(body));
}

/** Sends the error answer of a refused or failed request and counts it. An answer that has already started is cut off instead. */
export function sendFailure(response: ServerResponse, error: unknown, metrics: Metrics): void {
	const refusal = decideErrorAnswer(error);
	countFailure(error, metrics);
	if (response.destroyed) {
		return;
	}

	if (response.headersSent) {
		response.destroy();
		return;
	}

	sendJson(response, refusal.status, createErrorBody(refusal), createRefusalHeaders(error, refusal));
}

/** Counts a request that got no complete answer: by outcome, and a refusal also by reason. */
export function countFailure(error: unknown, metrics: Metrics): void {
	const {code} = decideErrorAnswer(error);
	const outcome = decideRequestOutcome(error);
	metrics.count('requests', outcome);
	if (outcome === 'refused') {
		metrics.countRefusal(refusalReasons.has(code) ? code as RefusalReason : refusalReason.unavailable);
	}
}

function createRefusalHeaders(error: unknown, {ran, retryAfterMs}: ErrorAnswer): Readonly<Record<string, string>> {
	const isDraining = error instanceof NotRunError && error.reason === refusalReason.draining;
	return {
		...(ran === 'no' ? {[upstreamHeader.notRun]: '1'} : {}),
		...(retryAfterMs === undefined ? {} : {'retry-after': String(Math.ceil(retryAfterMs / 1000))}),
		// A balancer that reuses connections has to open its next one to another entry.
		...(isDraining ? {connection: 'close'} : {}),
	};
}

function createBadRequest(path: string, found: string, allowed: string): Error {
	return new BadRequestError(`${path}: found ${found}, allowed: ${allowed}`, {
		props: {
			problems: [{
				path, line: 0, found, allowed,
			}],
		},
	});
}

import {Buffer} from 'node:buffer';
import {createHmac, randomBytes, timingSafeEqual} from 'node:crypto';
import {NotRunError, refusalReason} from '../errors/index.js';

const idPrefix = 'chatcmpl-';
/** 132 bits. */
const macLength = 22;
const nonceBytes = 15;
const maxIdLength = 400;

/** What a request's id tells. */
export type RequestId = {
	readonly domain: string;
	/** Engine that has the request. */
	readonly engine: string;
	/** Unique for ever; the id that engines know the request by. */
	readonly nonce: string;
};

/** Place in an answer from which a caller wants the rest. */
export type ResumePoint = RequestId & {
	/** Index of the first token wanted. */
	readonly offset: number;
};

/**
Ids of requests as callers see them: `chatcmpl-<domain>.<engine>.<random>.<mac>`. The code at the end binds an id to
its caller and to the body, so that any entry that knows the secret can take a stream up and nobody else's.

@example
```
const ids = new RequestIds(settings.secret);
const id = ids.format({domain: 'kigali-1', engine: 'e1', nonce: ids.createNonce()}, binding);
ids.parseEventId(`${id}:7`, binding).offset; // 8
```
*/
export class RequestIds {
	readonly #secret: string;

	constructor(secret: string) {
		this.#secret = secret;
	}

	/** Makes the part that is unique for ever. */
	createNonce(): string {
		return randomBytes(nonceBytes).toString('base64url');
	}

	/** Formats an id; `binding` names the caller and the body. */
	format(id: RequestId, binding: string): string {
		const parts = [id.domain, id.engine, id.nonce].map(part => encodeName(part));
		return `${idPrefix}${parts.join('.')}.${this.#createMac(parts, binding)}`;
	}

	/**
	Reads the id of the last event that a caller has, and tells where to go on.
	Throws `NotRunError` when it is not an id of ours for this caller and this body.
	*/
	parseEventId(text: string, binding: string): ResumePoint {
		const colon = text.lastIndexOf(':');
		const lastOffset = Number(text.slice(colon + 1));
		const parts = text.slice(idPrefix.length, colon).split('.');
		const [domain, engine, nonce, mac] = parts;
		const isWellFormed = text.length <= maxIdLength && text.startsWith(idPrefix) && colon > 0 && Number.isSafeInteger(lastOffset) && lastOffset >= 0 && parts.length === 4;
		if (!isWellFormed || domain === undefined || engine === undefined || nonce === undefined || mac === undefined) {
			throw createResumeError('the last event id is not one of ours');
		}

		const givenMac = Buffer.from(mac);
		const expectedMac = Buffer.from(this.#createMac([domain, engine, nonce], binding));
		if (givenMac.length !== expectedMac.length || !timingSafeEqual(givenMac, expectedMac)) {
			throw createResumeError('the last event id is not of this caller and body');
		}

		return {
			domain: decodeName(domain), engine: decodeName(engine), nonce: decodeName(nonce), offset: lastOffset + 1,
		};
	}

	#createMac(parts: readonly string[], binding: string): string {
		return createHmac('sha256', this.#secret).update(`${parts.join('.')}\n${binding}`).digest('base64url').slice(0, macLength);
	}
}

function createResumeError(message: string): Error {
	return new NotRunError(message, {props: {reason: refusalReason.badResume}});
}

/** A name may hold any character; the dot parts the names. */
function encodeName(name: string): string {
	return encodeURIComponent(name).replaceAll('.', '%2E');
}

function decodeName(name: string): string {
	return decodeURIComponent(name);
}

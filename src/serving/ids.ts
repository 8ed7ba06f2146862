import {Buffer} from 'node:buffer';
import {createHmac, randomBytes, timingSafeEqual} from 'node:crypto';
import {NotRunError, refusalReason} from '../errors/index.js';

const idPrefix = 'chatcmpl-';
/** Characters of an id's MAC in base64url: 132 bits. */
const macLength = 22;
const nonceBytes = 15;
const maxIdLength = 400;

/** Contents of a request's id. */
export type RequestId = {
	readonly domain: string;
	/** Id of the engine that serves the request. */
	readonly engine: string;
	/** Never used for another request; engines know the request by it. */
	readonly nonce: string;
};

/** Position in an answer at which a caller resumes it. */
export type ResumePoint = RequestId & {
	/** Index of the first token that the caller needs. */
	readonly offset: number;
};

/**
Formats and parses the ids of requests that callers see: `chatcmpl-<domain>.<engine>.<nonce>.<mac>`. The MAC binds an id
to its caller and body: any entry that knows the secret can resume the caller's stream, and nobody can resume another
caller's.

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

	/** Creates the random part of an id, which is never used again. */
	createNonce(): string {
		return randomBytes(nonceBytes).toString('base64url');
	}

	/** Formats an id; `binding` identifies the caller and the body. */
	format(id: RequestId, binding: string): string {
		const parts = [id.domain, id.engine, id.nonce].map(part => encodeName(part));
		return `${idPrefix}${parts.join('.')}.${this.#createMac(parts, binding)}`;
	}

	/**
	Parses the id of the last event that a caller has received and returns where to resume.
	Throws `NotRunError` when the id was not issued for this caller and body.
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

/** Encodes a name, which may hold any character. Dots are encoded too, since they separate the names in an id. */
function encodeName(name: string): string {
	return encodeURIComponent(name).replaceAll('.', '%2E');
}

function decodeName(name: string): string {
	return decodeURIComponent(name);
}

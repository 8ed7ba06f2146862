import {createHash} from 'node:crypto';
import type {EndEvent, GenerateRequest, TokenEvent} from '../../src/upstreams/index.js';

/** Smallest ratio of an answer's length to `maxTokens`. */
const minLengthRatio = 0.5;
const maxUint32 = 0xFF_FF_FF_FF;
const seedPrime = 1_000_003;
const offsetPrime = 7919;
const textPrime = 1_679_609;

/**
Answer to a request. Each token depends only on model, version, adapter, prompt and offset, so that any engine can continue
an answer at any offset. The number of tokens lies between half of `maxTokens` and all of it.
*/
export class Answer {
	/** Number of tokens. */
	readonly tokenCount: number;
	readonly #seed: number;
	readonly #request: GenerateRequest;

	constructor(request: GenerateRequest) {
		const source = [request.model, request.version, request.adapter ?? '', request.prompt].join('\n');
		const digest = createHash('sha256').update(source).digest();
		this.#seed = digest.readUInt32BE(0);
		const lengthRatio = minLengthRatio + ((1 - minLengthRatio) * digest.readUInt32BE(4) / maxUint32);
		this.tokenCount = Math.max(1, Math.ceil(request.maxTokens * lengthRatio));
		this.#request = request;
	}

	/** Returns the event at an offset: a token, or the end event at `tokenCount`. */
	getEvent(offset: number): TokenEvent | EndEvent {
		const {id, promptTokens, maxTokens} = this.#request;
		return offset < this.tokenCount
			? {
				kind: 'token', id, offset, text: this.#getText(offset),
			}
			: {
				kind: 'end', id, offset: this.tokenCount, finishReason: this.tokenCount < maxTokens ? 'stop' : 'length', promptTokens,
			};
	}

	/** Returns the SHA-256 of the whole text, in hexadecimal digits. */
	hashText(): string {
		const hash = createHash('sha256');
		for (let offset = 0; offset < this.tokenCount; offset++) {
			hash.update(this.#getText(offset));
		}

		return hash.digest('hex');
	}

	#getText(offset: number): string {
		const scrambled = ((this.#seed % seedPrime) * (offset + offsetPrime)) % textPrime;
		return ` ${scrambled.toString(36)}`;
	}
}

/** Returns the SHA-256 of a text, as {@link Answer.hashText} does for a whole answer. */
export function hashAnswerText(text: string): string {
	return createHash('sha256').update(text).digest('hex');
}

import {LineFit} from '../rates/index.js';
import type {Line} from '../rates/index.js';
import {Delivery} from './delivery.js';
import {EngineHealth} from './health.js';
import type {GenerationNeeds} from './needs.js';

/** Output tokens from which a generation holds its place for long: about half a second at somewhat under a ms a token. */
const longOutputTokens = 700;
/** Time to read one token before it was measured, in milliseconds: an engine that only reads, and one that also writes. */
const assumedReaderMs = 0.002;
const assumedWriterMs = 0.005;
/** Time of a read beyond its tokens before it was measured, in milliseconds: messages and the first token. */
const assumedBaseMs = 8;
/** Part of their weight that earlier reads keep with each new one: some fifty reads count. */
const keptWeight = 0.98;
/** Reads before the measured line is taken. */
const leastReads = 20;
/** A read counts at most as this multiple of what was expected: a longer one tells of a lost message, not of the engine. */
const mostMultiple = 4;

/** Tells whether a generation holds its place for long. */
export function isLong(needs: GenerationNeeds): boolean {
	return needs.outputTokens >= longOutputTokens;
}

/** A prompt that an engine reads, until it has done so. */
export type Reading = {
	readonly tokens: number;
	/** Tokens that the engine had to read first, this prompt's included. */
	readonly tokensToRead: number;
	readonly startedAt: number;
};

/** What was given of one engine, and how that ended. */
export class EngineUse {
	/** Told by all holders of its places; what this process's own sends showed is the view's, so that none counts twice. */
	readonly health = new EngineHealth();
	/** Prompts that it reads, for itself or others. */
	reading = 0;
	/** Their tokens. */
	readingTokens = 0;
	/** Requests that it writes, or will write once their prompts were read. */
	writing = 0;
	/** Those of them whose prompts are still being read elsewhere. */
	expected = 0;
	/** Those of them that hold their place for long. */
	long = 0;
	readonly #fit = new LineFit(keptWeight);
	readonly #delivery = new Delivery();
	#line: Line;

	constructor(isReader: boolean) {
		this.#line = {base: assumedBaseMs, slope: isReader ? assumedReaderMs : assumedWriterMs};
	}

	/** Computes how long a prompt of so many tokens takes to be read from now, in milliseconds. */
	computeReadMs(tokens: number): number {
		return this.#line.base + ((this.readingTokens + tokens) * this.#line.slope);
	}

	/** Computes how long the prompts take that it has to read, in milliseconds. */
	computeBacklogMs(): number {
		return this.readingTokens * this.#line.slope;
	}

	/**
	Tells whether one more prompt may be sent to be read, so that none waits much longer than `longestMs` at the engine: by
	the time that its tokens take, or by what it has delivered, which also keeps it busy when senders are slow.
	*/
	hasTimeToRead(longestMs: number, now: number): boolean {
		return this.reading === 0
			|| this.computeBacklogMs() <= longestMs
			|| this.readingTokens < this.#delivery.computeRoom(longestMs, now);
	}

	/** Counts a prompt that it begins to read. */
	startReading(tokens: number, now: number): Reading {
		this.reading++;
		this.readingTokens += tokens;
		return {tokens, tokensToRead: this.readingTokens, startedAt: now};
	}

	/** Counts a prompt that was read, and learns from the time it took; `isMeasured` is false where that tells nothing. */
	finishReading(reading: Reading, now: number, isMeasured: boolean): void {
		this.reading--;
		this.readingTokens -= reading.tokens;
		if (!isMeasured) {
			return;
		}

		this.#delivery.onRead(reading.tokens, now - reading.startedAt, now);
		const expectedMs = this.#line.base + (reading.tokensToRead * this.#line.slope);
		this.#fit.add(reading.tokensToRead, Math.min(now - reading.startedAt, expectedMs * mostMultiple));
		const line = this.#fit.count < leastReads ? undefined : this.#fit.computeLine();
		this.#line = line && line.slope > 0 ? line : this.#line;
	}

	/** Counts a request that it will write. */
	startWriting(needs: GenerationNeeds, isReadElsewhere: boolean): void {
		this.writing++;
		this.expected += isReadElsewhere ? 1 : 0;
		this.long += isLong(needs) ? 1 : 0;
	}

	/** Counts a prompt that was read elsewhere for it. */
	onRead(): void {
		this.expected--;
	}

	/** Counts a request that has ended. */
	finishWriting(needs: GenerationNeeds): void {
		this.writing--;
		this.long -= isLong(needs) ? 1 : 0;
	}
}

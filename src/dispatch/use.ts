import type {GenerationNeeds} from './placement.js';

/** Output tokens from which a generation holds its place for long: about half a second at somewhat under a ms a token. */
const longOutputTokens = 700;
/** Time to read one token before it was measured, in milliseconds: an engine that only reads, and one that also writes. */
const assumedReaderMs = 0.002;
const assumedWriterMs = 0.005;
/** Weight of the newest measurement. */
const rateWeight = 0.05;
/** A measurement counts at most as this multiple of the average: a longer one tells of a lost message, not of the engine. */
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

/** What was given of one engine. */
export class EngineUse {
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
	#readMsPerToken: number;

	constructor(isReader: boolean) {
		this.#readMsPerToken = isReader ? assumedReaderMs : assumedWriterMs;
	}

	/** Computes when a prompt of so many tokens would be read, in milliseconds from now. */
	computeReadMs(tokens: number): number {
		return (this.readingTokens + tokens) * this.#readMsPerToken;
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
		if (isMeasured && reading.tokensToRead > 0) {
			const msPerToken = Math.min((now - reading.startedAt) / reading.tokensToRead, this.#readMsPerToken * mostMultiple);
			this.#readMsPerToken += (msPerToken - this.#readMsPerToken) * rateWeight;
		}
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

import type {GenerationNeeds} from './placement.js';

/** Output tokens from which a generation holds its place for seconds: it gets only a part of an engine's places. */
const longOutputTokens = 16;

/** Tells whether a generation holds its place for long. */
export function isLong(needs: GenerationNeeds): boolean {
	return needs.outputTokens >= longOutputTokens;
}

/** Places of one engine that were given. */
export class EngineUse {
	/** Prompts that it reads for others. */
	reading = 0;
	/** Requests that it writes, or will write once their prompts were read. */
	writing = 0;
	/** Those of them whose prompts are still being read elsewhere. */
	expected = 0;
	/** Those of them that hold their place for long. */
	long = 0;

	/** Counts a request that it will write. */
	startWriting(needs: GenerationNeeds, isReadElsewhere: boolean): void {
		this.writing++;
		this.expected += isReadElsewhere ? 1 : 0;
		this.long += isLong(needs) ? 1 : 0;
	}

	/** Counts a prompt that was read elsewhere. */
	onRead(): void {
		this.expected--;
	}

	/** Counts a request that has ended. */
	finishWriting(needs: GenerationNeeds): void {
		this.writing--;
		this.long -= isLong(needs) ? 1 : 0;
	}
}

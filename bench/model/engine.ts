import {computeTransferMs, createPrefillWork, engineStage} from '../../src/dispatch/index.js';
import type {EngineStage, GenerationNeeds, PrefixBlock} from '../../src/dispatch/index.js';
import type {TimerService} from '../../src/timers/index.js';
import type {ModelEngineKind} from './site.js';

/** Speed of the prefill of an engine that also decodes, relative to one that only prefills, and the share of a piece that it takes at a time. */
const mixedSpeed = 0.5;
const mixedPieceShare = 0.25;

/** Blocks in the memory of an engine, the least recently used first; those of requests in progress are not evicted. */
class BlockMemory {
	readonly #capacityTokens: number;
	readonly #blocks = new Map<string, {readonly tokens: number; users: number}>();
	#tokens = 0;

	constructor(capacityTokens: number) {
		this.#capacityTokens = capacityTokens;
	}

	has(id: string): boolean {
		return this.#blocks.has(id);
	}

	/** Adds or touches blocks and keeps them until `release`. Returns whether they fit. */
	add(blocks: readonly PrefixBlock[]): boolean {
		for (const {id, tokens} of blocks) {
			const known = this.#blocks.get(id) ?? {tokens, users: 0};
			this.#tokens += this.#blocks.delete(id) ? 0 : tokens;
			known.users++;
			this.#blocks.set(id, known);
		}

		for (const [id, {tokens, users}] of this.#blocks) {
			if (this.#tokens <= this.#capacityTokens) {
				break;
			}

			if (users === 0) {
				this.#blocks.delete(id);
				this.#tokens -= tokens;
			}
		}

		return this.#tokens <= this.#capacityTokens;
	}

	release(blocks: readonly PrefixBlock[]): void {
		for (const {id} of blocks) {
			const known = this.#blocks.get(id);
			if (known) {
				known.users--;
			}
		}
	}

	list(): PrefixBlock[] {
		return [...this.#blocks].map(([id, {tokens}]) => ({id, tokens}));
	}
}

/** A prompt as an engine gets it. */
export type ModelPrompt = {
	readonly needs: GenerationNeeds;
	/** Its shared blocks and its own part. */
	readonly blocks: readonly PrefixBlock[];
	readonly outputTokens: number;
};

/** An engine in virtual time: it prefills prompts one after the other and decodes them in a batch. */
export class ModelEngine {
	/** Tokens that it prefilled, and those of them that it or another engine of the run had prefilled before. */
	prefilledTokens = 0;
	repeatedTokens = 0;
	/** Requests that it had no memory for. */
	rejected = 0;
	/** Time in which it prefilled, in milliseconds. */
	busyMs = 0;
	readonly #timers: TimerService;
	readonly #kind: ModelEngineKind;
	readonly #memory: BlockMemory;
	/** Ids of the blocks that any engine of the run has prefilled. */
	readonly #everRead: Set<string>;
	#freeAt = 0;
	#decoding = 0;

	constructor(readonly id: string, readonly stage: EngineStage, options: {readonly timers: TimerService; readonly kind: ModelEngineKind; readonly everRead: Set<string>}) {
		this.#timers = options.timers;
		this.#kind = options.kind;
		this.#everRead = options.everRead;
		this.#memory = new BlockMemory(options.kind.kvTokens);
	}

	has(id: string): boolean {
		return this.#memory.has(id);
	}

	/** Lists the blocks in its memory, as an engine tells an allocator that asks. */
	listBlocks(): PrefixBlock[] {
		return this.#memory.list();
	}

	/** Prefills a prompt after those before it, with blocks that it lacks fetched from `source`. Returns whether it had the memory. */
	async runPrefill(prompt: ModelPrompt, source: ModelEngine | undefined): Promise<boolean> {
		const queuedMs = Math.max(0, this.#freeAt - this.#timers.getNow());
		this.#freeAt = Math.max(this.#freeAt, this.#timers.getNow());
		// What the engine holds counts when its turn comes.
		await this.#timers.sleep(queuedMs);
		const {needs, blocks} = prompt;
		const missing = findMissing(blocks, id => this.has(id));
		const fetched = source ? missing.filter(({id}) => source.has(id)) : [];
		const read = missing.slice(fetched.length);
		const isHeld = this.#memory.add(blocks);
		if (!isHeld) {
			this.rejected++;
			this.#memory.release(blocks);
			return false;
		}

		for (const {id, tokens} of read) {
			this.repeatedTokens += this.#everRead.has(id) ? tokens : 0;
			this.#everRead.add(id);
		}

		const promptTokens = countTokens(blocks);
		const tokens = countTokens(read);
		const fetchMs = computeTransferMs(countTokens(fetched), needs);
		const busyMs = fetchMs + this.#computePrefillMs(tokens, promptTokens);
		this.prefilledTokens += tokens;
		this.busyMs += busyMs;
		this.#freeAt = Math.max(this.#freeAt, this.#timers.getNow()) + busyMs;
		await this.#timers.sleep((this.#freeAt - this.#timers.getNow()) + this.#kind.firstTokenMs);
		return true;
	}

	/** Frees the memory of a prompt that was prefilled; its blocks stay until others need their place. */
	release({blocks}: ModelPrompt): void {
		this.#memory.release(blocks);
	}

	/** Takes a prompt that another engine prefilled, behind the prompts that it prefills itself. Returns whether it had the memory. */
	async takePrompt(prompt: ModelPrompt): Promise<boolean> {
		await this.#timers.sleep(Math.max(0, this.#freeAt - this.#timers.getNow()) + computeTransferMs(countTokens(prompt.blocks), prompt.needs));
		if (this.#memory.add(prompt.blocks)) {
			return true;
		}

		this.rejected++;
		this.#memory.release(prompt.blocks);
		return false;
	}

	/** Decodes an answer to its end. */
	async decode({outputTokens}: ModelPrompt): Promise<void> {
		this.#decoding++;
		await this.#timers.sleep(outputTokens * this.#computeStepMs());
		this.#decoding--;
	}

	#computePrefillMs(tokens: number, promptTokens: number): number {
		const {prefillTokensPerMs, pairsMs, pieceTokens} = this.#kind;
		const {pairs} = createPrefillWork(tokens, promptTokens);
		const readMs = (tokens / prefillTokensPerMs) + (pairs * pairsMs);
		if (this.stage === engineStage.prefill) {
			return readMs;
		}

		const steps = this.#decoding > 0 ? tokens / (pieceTokens * mixedPieceShare) : 0;
		return (readMs / mixedSpeed) + (steps * this.#computeStepMs());
	}

	#computeStepMs(): number {
		return this.#kind.stepMs + (this.#kind.stepMsPerRequest * this.#decoding);
	}
}

function countTokens(blocks: readonly PrefixBlock[]): number {
	return blocks.reduce((sum, {tokens}) => sum + tokens, 0);
}

/** Lists the blocks from the first one on that the engine lacks: it can use a block only with all blocks before it. */
function findMissing(blocks: readonly PrefixBlock[], isHeld: (id: string) => boolean): readonly PrefixBlock[] {
	const first = blocks.findIndex(({id}) => !isHeld(id));
	return first === -1 ? [] : blocks.slice(first);
}

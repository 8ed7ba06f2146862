/** What bytes are held for; each value is a label of the gauge. */
export const heldKind = {
	/** Heads of requests whose answer has not ended, with the objects that stand for a request. */
	head: 'head',
	/** Heads that are not complete. */
	partialHead: 'partialHead',
	/** Bodies of requests whose answer has not ended; they are kept for a further attempt. */
	body: 'body',
	/** Answers that have not left this process. */
	answer: 'answer',
} as const;

/** See {@link heldKind}. */
export type HeldKind = (typeof heldKind)[keyof typeof heldKind];

/**
Counts the bytes that a process holds for its callers, by kind, against one bound. A part of the bound is reserved for small requests, so that
ordinary callers are still served while large bodies and unread answers fill the rest. Made for some thousands of changes a second: a change is an addition.
*/
export class ByteBudget {
	readonly #maxBytes: number;
	readonly #reservedBytes: number;
	readonly #smallBytes: number;
	readonly #held: Record<HeldKind, number> = {
		head: 0, partialHead: 0, body: 0, answer: 0,
	};

	#heldBytes = 0;

	/** `reservedBytes` of `maxBytes` are left to holders of at most `smallBytes` each. */
	constructor(maxBytes: number, reservedBytes: number, smallBytes: number) {
		this.#maxBytes = maxBytes;
		this.#reservedBytes = reservedBytes;
		this.#smallBytes = smallBytes;
	}

	/** Bytes held now, of all kinds. */
	get heldBytes(): number {
		return this.#heldBytes;
	}

	/** Lists the bytes that are held now by kind. */
	listHeldBytes(): Readonly<Record<HeldKind, number>> {
		return this.#held;
	}

	/** Adds `changeBytes`, which may be negative. Beyond the bound too: the caller then has to give up something. */
	update(kind: HeldKind, changeBytes: number): void {
		this.#held[kind] += changeBytes;
		this.#heldBytes += changeBytes;
	}

	/** Computes how many bytes have to be given up before a holder of `ownBytes`, which are counted already, may keep them; 0 or less when it may. */
	computeExcessBytes(ownBytes: number): number {
		return this.#heldBytes - (ownBytes > this.#smallBytes ? this.#maxBytes - this.#reservedBytes : this.#maxBytes);
	}
}

/** Size of the first and of the largest buffer into which chunks are merged, in bytes. */
const minSegmentBytes = 4096;
const maxSegmentBytes = 65_536;
const emptyBytes = new Uint8Array(0);

/**
Merges chunks, such as those of a body, into few buffers, each twice as large as the one before, up to 64 KB: each chunk that Node passes on costs some 500 bytes besides
its own, so that chunks of one byte would cost far more than the body has. A single chunk is kept without a copy.
*/
export class ChunkBuffer {
	#first: Uint8Array | undefined;
	/** `undefined` until there is a second chunk: most bodies come in one. */
	#segments: Uint8Array[] | undefined;
	/** Bytes used of the last segment. */
	#usedBytes = 0;
	#lengthBytes = 0;
	#capacityBytes = 0;

	/** Bytes added. */
	get lengthBytes(): number {
		return this.#lengthBytes;
	}

	/** Memory that the buffers take, in bytes. */
	get capacityBytes(): number {
		return this.#capacityBytes;
	}

	/** Adds a chunk; returns by how many bytes the memory that the buffers take has grown. */
	add(chunk: Uint8Array): number {
		const capacityBytes = this.#capacityBytes;
		if (this.#lengthBytes === 0) {
			this.#first = chunk;
			this.#capacityBytes = chunk.length;
		} else {
			if (this.#first) {
				const first = this.#first;
				this.#first = undefined;
				this.#capacityBytes = 0;
				this.#mergeChunk(first);
			}

			this.#mergeChunk(chunk);
		}

		this.#lengthBytes += chunk.length;
		return this.#capacityBytes - capacityBytes;
	}

	/** Returns all chunks in one buffer. */
	joinChunks(): Uint8Array {
		if (this.#first) {
			return this.#first;
		}

		const last = this.#segments?.at(-1)?.subarray(0, this.#usedBytes);
		if (!this.#segments || !last || this.#segments.length === 1) {
			return last ?? emptyBytes;
		}

		const body = new Uint8Array(this.#lengthBytes);
		let offset = 0;
		for (const segment of [...this.#segments.slice(0, -1), last]) {
			body.set(segment, offset);
			offset += segment.length;
		}

		return body;
	}

	#mergeChunk(chunk: Uint8Array): void {
		this.#segments ??= [];
		let rest = chunk;
		while (rest.length > 0) {
			let segment = this.#segments.at(-1);
			if (!segment || this.#usedBytes === segment.length) {
				const sizeBytes = Math.max(minSegmentBytes, Math.min(maxSegmentBytes, 2 * (segment?.length ?? 0)), Math.min(maxSegmentBytes, rest.length));
				segment = new Uint8Array(sizeBytes);
				this.#segments.push(segment);
				this.#usedBytes = 0;
				this.#capacityBytes += sizeBytes;
			}

			const part = rest.subarray(0, segment.length - this.#usedBytes);
			segment.set(part, this.#usedBytes);
			this.#usedBytes += part.length;
			rest = rest.subarray(part.length);
		}
	}
}

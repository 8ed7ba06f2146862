/** Record of what happened in a stand-in, which tests check. Memory is bounded: the oldest rows are dropped first, and the dropped ones are counted. */
export class Journal<Row> {
	readonly #rows: Row[] = [];
	readonly #capacity: number;
	#dropped = 0;

	constructor(capacity = 20_000) {
		this.#capacity = capacity;
	}

	/** Adds a row, and drops the oldest one when the journal is full. */
	add(row: Row): void {
		this.#rows.push(row);
		if (this.#rows.length > this.#capacity) {
			this.#rows.shift();
			this.#dropped++;
		}
	}

	/** Lists the rows still in memory, oldest first. */
	list(): readonly Row[] {
		return this.#rows;
	}

	/** Counts the rows dropped since the start. */
	countDropped(): number {
		return this.#dropped;
	}
}

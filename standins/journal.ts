/** What happened in a stand-in, in bounded memory, for tests to judge by; the oldest rows go first and are counted. */
export class Journal<Row> {
	readonly #rows: Row[] = [];
	readonly #capacity: number;
	#dropped = 0;

	constructor(capacity = 20_000) {
		this.#capacity = capacity;
	}

	/** Adds a row. */
	add(row: Row): void {
		this.#rows.push(row);
		if (this.#rows.length > this.#capacity) {
			this.#rows.shift();
			this.#dropped++;
		}
	}

	/** Lists the rows kept, oldest first. */
	list(): readonly Row[] {
		return this.#rows;
	}

	/** Counts the rows that no longer are kept. */
	countDropped(): number {
		return this.#dropped;
	}
}

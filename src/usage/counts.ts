/** Requests of one customer in one window. */
export type CountRow = readonly [window: number, customer: string, count: number];

/** Maximum number of customers of one window; a configuration has fewer. */
export const maxCustomers = 4096;
/** Maximum number of windows that are kept: those that may still be reported, and those around a clock that was off. */
const maxWindows = 12;

/** Requests by window and customer: a few windows of up to 4,096 customers. */
export class WindowCounts {
	/** Requests that were not counted, as there were too many customers. */
	droppedCount = 0;
	readonly #windows = new Map<number, Map<string, number>>();

	/** Counts requests of a customer in a window. */
	add(window: number, customer: string, count = 1): void {
		this.set(window, customer, this.get(window, customer) + count);
	}

	/** Sets the number of requests of a customer in a window. */
	set(window: number, customer: string, count: number): void {
		const counts = this.#getWindow(window);
		if (counts.size >= maxCustomers && !counts.has(customer)) {
			this.droppedCount++;
			return;
		}

		counts.set(customer, count);
	}

	get(window: number, customer: string): number {
		return this.#windows.get(window)?.get(customer) ?? 0;
	}

	/** Returns the requests of a window by customer. */
	getCounts(window: number): ReadonlyMap<string, number> {
		return this.#windows.get(window) ?? new Map();
	}

	/** Lists the counts that differ from those in `known`. */
	listChanges(known: WindowCounts): CountRow[] {
		const rows: CountRow[] = [];
		for (const [window, counts] of this.#windows) {
			for (const [customer, count] of counts) {
				if (known.get(window, customer) !== count) {
					rows.push([window, customer, count]);
				}
			}
		}

		return rows;
	}

	#getWindow(window: number): Map<string, number> {
		const counts = this.#windows.get(window) ?? new Map<string, number>();
		if (!this.#windows.has(window)) {
			this.#windows.set(window, counts);
			if (this.#windows.size > maxWindows) {
				// The one that was begun first.
				this.#windows.delete([...this.#windows.keys()][0]!);
			}
		}

		return counts;
	}
}

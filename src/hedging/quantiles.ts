/** Number of the latest times that count: some minutes of an entry that gets two calls a second. */
const maxTimes = 256;

/** The latest times of one route's requests, relative to what was expected of their engines, for quantiles of them. */
export class TimeQuantiles {
	readonly #latest: number[] = [];
	readonly #sorted: number[] = [];

	get count(): number {
		return this.#sorted.length;
	}

	/** Adds a time; the oldest one is forgotten once there are as many as count. */
	add(time: number): void {
		this.#latest.push(time);
		this.#sorted.splice(this.#findIndex(time), 0, time);
		if (this.#latest.length > maxTimes) {
			this.#sorted.splice(this.#findIndex(this.#latest.shift()!), 1);
		}
	}

	/** Computes the time that a share of the requests exceeds; infinite when none was measured that took so long. */
	computeExceededBy(share: number): number {
		return this.#sorted[Math.floor(this.#sorted.length * (1 - share))] ?? Number.POSITIVE_INFINITY;
	}

	/** Estimates how much longer a request takes that has taken `time`: the mean of what those that took longer took beyond it. 0 when none did. */
	estimateRest(time: number): number {
		const longer = this.#sorted.slice(this.#findIndex(time)).filter(value => value > time);
		return longer.length === 0 ? 0 : (longer.reduce((sum, value) => sum + value, 0) / longer.length) - time;
	}

	/** Finds the index of the first time that is not below `time`. */
	#findIndex(time: number): number {
		let low = 0;
		let high = this.#sorted.length;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if (this.#sorted[middle]! < time) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		return low;
	}
}

import type {LimitedEngine, RequestLimit, RequestLimitChange} from './types.js';

/** Maximum number of engines whose limits are remembered, lifted ones included. */
const maxEntries = 4096;
/** Difference in the times of two observations below which their order is not known, in milliseconds: a message between entries takes up to that long. */
const orderToleranceMs = 250;
/** Minimum time between two reports of changed limits of one engine, in milliseconds; the first one and the end of a limit are reported at once. */
const minReportIntervalMs = 200;

type Entry = {readonly service: string; id: string; perSecond: number; observedAt: number; reportedPerSecond: number; reportedAt: number};

/**
The limits on requests that engines named in their answers. Incarnations with the same key share a limit: one that follows another at its address
is in the same need until one of its answers says otherwise. Times are monotonic, in milliseconds.
*/
export class RequestLimits {
	/** By key, the earliest named first. */
	readonly #entries = new Map<string, Entry>();
	readonly #listeners = new Set<(change: RequestLimitChange) => void>();
	readonly #findKey: (id: string) => string;

	/** Takes a function that returns the key of an incarnation, by its id. */
	constructor(findKey: (id: string) => string = id => id) {
		this.#findKey = findKey;
	}

	/** Calls `listener` at each change. Returns a function that ends this. */
	subscribe(listener: (change: RequestLimitChange) => void): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	/** Formats the key that an engine shares with those that follow it at its address. */
	formatKey({service, id}: LimitedEngine): string {
		return `${service} ${this.#findKey(id)}`;
	}

	/** Returns how many requests a second an engine takes from all entries together; infinite when it names no limit. */
	getPerSecond(engine: LimitedEngine): number {
		return this.#entries.size === 0 ? Number.POSITIVE_INFINITY : this.#entries.get(this.formatKey(engine))?.perSecond ?? Number.POSITIVE_INFINITY;
	}

	/** Whether an engine names a limit. */
	isLimited(engine: LimitedEngine): boolean {
		return Number.isFinite(this.getPerSecond(engine));
	}

	/** Computes the sum of the limits of a service's engines, in requests a second; engines without a limit are left out. */
	sumPerSecond(service: string): number {
		return [...this.#entries.values()].filter(entry => entry.service === service && Number.isFinite(entry.perSecond)).reduce((sum, {perSecond}) => sum + perSecond, 0);
	}

	/** Number of engines that name a limit. */
	countLimited(): number {
		return [...this.#entries.values()].filter(({perSecond}) => Number.isFinite(perSecond)).length;
	}

	/** Lists the limits, those lifted included. */
	list(now: number): RequestLimit[] {
		return [...this.#entries.values()].map(({service, id, perSecond, observedAt}) => ({
			service, id, perSecond, ageMs: now - observedAt,
		}));
	}

	/**
	Handles an answer that names the limit `perSecond`, or none if infinite. Answers on different connections overtake each other: one to a
	request that was sent before the limit was last named lifts nothing.
	*/
	onAnswer(engine: LimitedEngine, perSecond: number, sentAt: number, now: number): void {
		const known = this.#entries.get(this.formatKey(engine));
		if (!known && !Number.isFinite(perSecond)) {
			return;
		}

		if (known && perSecond > known.perSecond && sentAt < known.observedAt) {
			return;
		}

		this.#write({
			service: engine.service, id: engine.id, perSecond, ageMs: 0,
		}, now, 'answer');
	}

	/** Takes over limits that another entry knows. Returns the limits that are known here by later answers, for the other entry. */
	merge(limits: readonly RequestLimit[], now: number): readonly RequestLimit[] {
		const corrections: RequestLimit[] = [];
		for (const received of limits.slice(0, maxEntries)) {
			const known = this.#entries.get(this.formatKey(received));
			if (known?.perSecond === received.perSecond) {
				known.observedAt = Math.max(known.observedAt, now - received.ageMs);
				continue;
			}

			const newerByMs = known ? now - received.ageMs - known.observedAt : Number.POSITIVE_INFINITY;
			if (known && newerByMs < -orderToleranceMs) {
				corrections.push({
					service: known.service, id: known.id, perSecond: known.perSecond, ageMs: now - known.observedAt,
				});
			} else if (known ? newerByMs > orderToleranceMs || received.perSecond < known.perSecond : Number.isFinite(received.perSecond)) {
				this.#write(received, now, 'peer');
			}
		}

		return corrections;
	}

	#write({service, id, perSecond, ageMs}: RequestLimit, now: number, cause: RequestLimitChange['cause']): void {
		const key = this.formatKey({service, id});
		const entry = this.#entries.get(key) ?? {
			service, id, perSecond: Number.POSITIVE_INFINITY, observedAt: now, reportedPerSecond: Number.POSITIVE_INFINITY, reportedAt: Number.NEGATIVE_INFINITY,
		};
		const isEdge = Number.isFinite(entry.perSecond) !== Number.isFinite(perSecond);
		entry.id = id;
		entry.perSecond = perSecond;
		entry.observedAt = now - ageMs;
		this.#entries.set(key, entry);
		this.#evict();
		if (perSecond === entry.reportedPerSecond || (!isEdge && now - entry.reportedAt < minReportIntervalMs)) {
			return;
		}

		const previousPerSecond = entry.reportedPerSecond;
		entry.reportedPerSecond = perSecond;
		entry.reportedAt = now;
		for (const listener of this.#listeners) {
			listener({
				service, id, perSecond, ageMs, previousPerSecond, cause,
			});
		}
	}

	/** Forgets the limits that were lifted or, if there are none, the one named first. */
	#evict(): void {
		if (this.#entries.size <= maxEntries) {
			return;
		}

		const [oldestKey] = this.#entries.keys();
		const [liftedKey] = [...this.#entries].find(([, {perSecond}]) => !Number.isFinite(perSecond)) ?? [oldestKey];
		if (liftedKey !== undefined) {
			this.#entries.delete(liftedKey);
		}
	}
}

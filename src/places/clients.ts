/** Time without a message after which a client counts as cut off, in milliseconds: it sends several pings in it. */
const silenceMs = 1000;
/** Time after its latest request for a service in which a client counts as asking here for it, in milliseconds. */
const askingMs = 2000;
/** Time without a message after which a connection is forgotten, in milliseconds. */
const maxSilenceMs = 60_000;
/** Maximum number of clients that are remembered after their connections have closed. */
const maxLost = 1024;

/** A connection of another entry. */
export type ClientLink = {
	/** VM by which the entry is known to the others; `undefined` until it has told. */
	vm: string | undefined;
	lastReceivedAt: number;
	/** Time of its latest request by service. */
	readonly askedAt: Map<string, number>;
};

/**
The entries that use the allocator of this process, and those that did and were lost. The allocators of a service tell from it which share of the
entries each serves, so that a bound on all entries is spent once. Times are monotonic, in milliseconds.
*/
export class AllocatorClients {
	readonly #links = new Set<ClientLink>();
	/** Services that entries without a connection had asked for, by VM; the earliest lost first. */
	readonly #lost = new Map<string, ReadonlySet<string>>();

	/** Adds a connection. Forgets those that have been silent for so long that their ends were not seen. */
	add(now: number): ClientLink {
		for (const link of this.#links) {
			if (now - link.lastReceivedAt > maxSilenceMs) {
				this.remove(link);
			}
		}

		const link: ClientLink = {vm: undefined, lastReceivedAt: now, askedAt: new Map()};
		this.#links.add(link);
		return link;
	}

	/** Removes a connection that has closed. */
	remove(link: ClientLink): void {
		if (!this.#links.delete(link) || link.vm === undefined || link.askedAt.size === 0) {
			return;
		}

		this.#lost.set(link.vm, new Set(link.askedAt.keys()));
		const [oldest] = this.#lost.keys();
		if (this.#lost.size > maxLost && oldest !== undefined) {
			this.#lost.delete(oldest);
		}
	}

	/** Lists the VMs of the entries that are connected. */
	listVms(): ReadonlySet<string | undefined> {
		return new Set([...this.#links].map(({vm}) => vm));
	}

	/** Counts the entries that have lately asked this allocator for a service. */
	countAsking(service: string, now: number): number {
		return [...this.#links].filter(link => now - (link.askedAt.get(service) ?? Number.NEGATIVE_INFINITY) < askingMs).length;
	}

	/** Lists the VMs of entries that asked this allocator for a service before they were cut off or closed their connections. */
	listLost(service: string, now: number): string[] {
		const live = new Set<string | undefined>();
		const lost = new Set([...this.#lost].filter(([, services]) => services.has(service)).map(([vm]) => vm));
		for (const {vm, lastReceivedAt, askedAt} of this.#links) {
			if (now - lastReceivedAt <= silenceMs) {
				live.add(vm);
			} else if (vm !== undefined && askedAt.has(service)) {
				lost.add(vm);
			}
		}

		return [...lost].filter(vm => !live.has(vm));
	}
}

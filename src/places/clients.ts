/** Time without a message after which a client counts as cut off, in milliseconds: it sends several pings in it. */
const silenceMs = 1000;
/** Time after its latest request for a service in which a client counts as asking here for it, in milliseconds. */
const askingMs = 2000;
/** Maximum number of clients that are remembered after their connections have closed. */
const maxLost = 1024;

/** A connection of another entry. */
export type ClientLink = {
	/** Address by which the entry is known to the others; `undefined` until it has told. */
	address: string | undefined;
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
	/** Services that entries without a connection had asked for, by address; the earliest lost first. */
	readonly #lost = new Map<string, ReadonlySet<string>>();

	/** Adds a connection. */
	add(now: number): ClientLink {
		const link: ClientLink = {address: undefined, lastReceivedAt: now, askedAt: new Map()};
		this.#links.add(link);
		return link;
	}

	/** Handles the address of a connection's entry. An earlier connection of it is of no use any more, if its end was not seen. */
	onAddress(link: ClientLink, address: string): void {
		for (const other of this.#links) {
			if (other !== link && other.address === address) {
				this.#links.delete(other);
			}
		}

		link.address = address;
		this.#lost.delete(address);
	}

	/** Removes a connection that has closed. */
	remove(link: ClientLink): void {
		if (!this.#links.delete(link) || link.address === undefined) {
			return;
		}

		this.#lost.set(link.address, new Set(link.askedAt.keys()));
		const [oldest] = this.#lost.keys();
		if (this.#lost.size > maxLost && oldest !== undefined) {
			this.#lost.delete(oldest);
		}
	}

	/** Lists the addresses of the entries that are connected. */
	listAddresses(): ReadonlySet<string | undefined> {
		return new Set([...this.#links].map(({address}) => address));
	}

	/** Counts the entries that have lately asked this allocator for a service. */
	countAsking(service: string, now: number): number {
		return [...this.#links].filter(link => now - (link.askedAt.get(service) ?? Number.NEGATIVE_INFINITY) < askingMs).length;
	}

	/** Lists the addresses of entries that asked this allocator for a service before they were cut off or closed their connections. */
	listLost(service: string, now: number): string[] {
		const silent = [...this.#links].filter(({address, lastReceivedAt, askedAt}) => address !== undefined && now - lastReceivedAt > silenceMs && askedAt.has(service));
		return [
			...[...this.#lost].filter(([, services]) => services.has(service)).map(([address]) => address),
			...silent.map(({address}) => address!),
		];
	}
}

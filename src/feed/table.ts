import type {Fact, FactKind} from './facts.js';

/** Called with each merged fact and the fact that it replaced, if any. */
export type FactListener = (fact: Fact, previous: Fact | undefined) => void;

/**
The facts that an entry knows. Facts may arrive late, out of order or more than once: of two with the same kind and key, the
one with the higher version is kept.

@example
```
const table = new FactTable();
table.merge({kind: 'configuration', key: '', version: 3, value});
table.get('configuration', '')?.version; // 3
```
*/
export class FactTable {
	readonly #factsByKind = new Map<FactKind, Map<string, Fact>>();
	readonly #listeners = new Set<FactListener>();
	readonly #hasVersionCheck: boolean;

	/** `hasVersionCheck` is `false` only to show that the fault matrix detects a missing check. */
	constructor(hasVersionCheck = true) {
		this.#hasVersionCheck = hasVersionCheck;
	}

	/** Stores a fact if it is newer than the stored one, notifies the listeners, and returns whether it was stored. */
	merge(fact: Fact): boolean {
		const facts = this.#getKind(fact.kind);
		const previous = facts.get(fact.key);
		if (previous && (this.#hasVersionCheck ? previous.version >= fact.version : previous.version === fact.version)) {
			return false;
		}

		facts.set(fact.key, fact);
		for (const listener of this.#listeners) {
			listener(fact, previous);
		}

		return true;
	}

	/** Returns one fact; `undefined` when it is not known. */
	get<Kind extends FactKind>(kind: Kind, key: string): Fact<Kind> | undefined {
		return this.#getKind(kind).get(key) as Fact<Kind> | undefined;
	}

	/** Lists the facts of one kind. */
	list<Kind extends FactKind>(kind: Kind): Array<Fact<Kind>> {
		return [...this.#getKind(kind).values()] as Array<Fact<Kind>>;
	}

	/** Removes a fact, such as that of a member that has left the fleet; the listeners are not notified. */
	forget(kind: FactKind, key: string): void {
		this.#getKind(kind).delete(key);
	}

	/** Calls `listener` with each fact merged from now on; the returned function ends the subscription. */
	subscribe(listener: FactListener): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	#getKind(kind: FactKind): Map<string, Fact> {
		let facts = this.#factsByKind.get(kind);
		if (!facts) {
			facts = new Map();
			this.#factsByKind.set(kind, facts);
		}

		return facts;
	}
}

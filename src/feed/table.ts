import type {Fact, FactKind} from './facts.js';

/** Called with each fact that the table took in and the one that it replaced. */
export type FactListener = (fact: Fact, previous: Fact | undefined) => void;

/**
The facts an entry knows. Late, crossed and repeated facts do no harm: of two with one kind and key the higher version holds.

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

	/** `holdsHighest` is taken out only to see the fault matrix fail. */
	constructor(hasVersionCheck = true) {
		this.#hasVersionCheck = hasVersionCheck;
	}

	/** Takes in a fact when it is newer than the known one, and says whether it did. */
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

	/** Reads one fact. */
	get<Kind extends FactKind>(kind: Kind, key: string): Fact<Kind> | undefined {
		return this.#getKind(kind).get(key) as Fact<Kind> | undefined;
	}

	/** Lists the facts of one kind. */
	list<Kind extends FactKind>(kind: Kind): Array<Fact<Kind>> {
		return [...this.#getKind(kind).values()] as Array<Fact<Kind>>;
	}

	/** Drops a fact, such as that of a member long gone. */
	forget(kind: FactKind, key: string): void {
		this.#getKind(kind).delete(key);
	}

	/** Calls `listener` with each fact taken in from now on; the result ends that. */
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

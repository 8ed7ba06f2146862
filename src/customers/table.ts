import {createHash} from 'node:crypto';

/** A customer whose requests carry one of its API keys. */
export type Customer = {
	readonly name: string;
	/** Takes precedence over the priority of a request's route; 0 is the most urgent. `undefined` when the customer has none of its own. */
	readonly priority: number | undefined;
};

/** Maximum length of a customer's name in messages between entries, in characters. */
const maxNameLength = 64;

/** Returns a customer's name for messages between entries: a longer one than 64 characters is replaced by its hash, which has as many. */
export function normalizeCustomerName(name: string): string {
	return name.length <= maxNameLength ? name : createHash('sha256').update(name).digest('hex');
}

/** A customer and its API keys, as the configuration lists them. */
export type CustomerKeys = Customer & {readonly keys: readonly string[]};

/**
The customers of a configuration by their API keys. A lookup takes constant time, so that it costs the same with 100,000 keys as
with ten. Keys never leave this table.
*/
export class CustomerTable {
	/** Number of customers. */
	readonly size: number;
	readonly #customersByKey = new Map<string, Customer>();

	/** Takes the customers of a configuration; a key that several of them list belongs to the first. */
	constructor(customers: readonly CustomerKeys[]) {
		this.size = customers.length;
		for (const {name, priority, keys} of customers) {
			const customer: Customer = {name, priority};
			for (const key of keys) {
				if (!this.#customersByKey.has(key)) {
					this.#customersByKey.set(key, customer);
				}
			}
		}
	}

	/** Number of keys. */
	get keyCount(): number {
		return this.#customersByKey.size;
	}

	/** Finds the customer that holds a key; `undefined` when no customer does. */
	findByKey(key: string): Customer | undefined {
		return this.#customersByKey.get(key);
	}

	/** Tells whether the customer of that name holds a key. */
	has(name: string, key: string): boolean {
		return this.#customersByKey.get(key)?.name === name;
	}
}

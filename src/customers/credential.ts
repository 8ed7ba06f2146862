import type {Customer, CustomerTable} from './table.js';

/** The API key that a request carried, with the customer that held it on arrival. The key itself can't be read from it, so that it reaches no log line, error or message. */
export class Credential {
	readonly #key: string;

	constructor(readonly customer: Customer, key: string) {
		this.#key = key;
	}

	/** Tells whether the customer still holds the key. */
	isHeld(customers: CustomerTable): boolean {
		return customers.has(this.customer.name, this.#key);
	}
}

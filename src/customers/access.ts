import {refusalReason} from '../errors/index.js';
import type {KnowledgeAge} from './age.js';
import {Credential} from './credential.js';
import type {CustomerTable} from './table.js';

/** Bounds on the age of what a process knows of the configuration, in milliseconds. */
export type AccessBounds = {
	/** Age from which no request with a key is served, as the key may have been revoked; infinite where revocation does not fail closed. */
	readonly maxAgeMs: number;
	/** Age up to which an unknown key is known not to be a new one. */
	readonly maxNewKeyAgeMs: number;
};

/** Why a request is not served: `unknownKey` where its key is wrong, missing or revoked, `configurationStale` where that can't be known. */
export type AccessRefusal = typeof refusalReason.unknownKey | typeof refusalReason.configurationStale;

/**
Decides which requests may run by their API keys. Revocation fails closed: a process that may not know of a revocation refuses requests
with keys, on arrival and again before each send to an engine. It does no I/O.
*/
export class CustomerAccess {
	readonly #getBounds: () => AccessBounds;
	#customers: CustomerTable | undefined;

	/** `getBounds` returns the bounds of the settings in force. */
	constructor(readonly age: KnowledgeAge, getBounds: () => AccessBounds) {
		this.#getBounds = getBounds;
	}

	/** The customers of the configuration in force; `undefined` where requests need no key. */
	get customers(): CustomerTable | undefined {
		return this.#customers;
	}

	/** Puts the customers of a configuration into force. */
	apply(customers: CustomerTable | undefined): void {
		this.#customers = customers;
	}

	/** Decides on a request that has just arrived, with the key that it carries: returns its credential, why it is refused, or `undefined` where requests need no key. */
	decide(key: string | undefined): Credential | AccessRefusal | undefined {
		if (!this.#customers) {
			return undefined;
		}

		const customer = key === undefined ? undefined : this.#customers.findByKey(key);
		if (key === undefined || !customer) {
			return key === undefined || this.age.isFresh(this.#getBounds().maxNewKeyAgeMs) ? refusalReason.unknownKey : refusalReason.configurationStale;
		}

		return this.#isStale() ? refusalReason.configurationStale : new Credential(customer, key);
	}

	/** Checks a request that was accepted earlier: returns why it must not be sent to an engine now, or `undefined` when it may be. */
	check(credential: Credential | undefined): AccessRefusal | undefined {
		if (!this.#customers) {
			return undefined;
		}

		if (!credential?.isHeld(this.#customers)) {
			return refusalReason.unknownKey;
		}

		return this.#isStale() ? refusalReason.configurationStale : undefined;
	}

	#isStale(): boolean {
		return !this.age.isFresh(this.#getBounds().maxAgeMs);
	}
}

import type {FactTable, UpstreamFact} from '../feed/index.js';
import type {DomainRecord} from './record.js';

/** Publishes the state and setup of the upstreams of a domain record as gossip facts, whose version is the record's revision. */
export class FactPublisher {
	readonly #facts: FactTable;
	readonly #published = new Map<string, string>();

	constructor(facts: FactTable) {
		this.#facts = facts;
	}

	/** Publishes every upstream that changed since the last call. The first call publishes all, because other entries may have older facts. */
	publish(record: DomainRecord, revision: number): void {
		for (const [id, {state, setup}] of Object.entries(record.upstreams)) {
			const value: UpstreamFact = setup ? {state, setup} : {state};
			const encoded = JSON.stringify(value);
			if (this.#published.get(id) !== encoded) {
				this.#published.set(id, encoded);
				this.#facts.merge({
					kind: 'upstream', key: id, version: revision, value,
				});
			}
		}
	}
}

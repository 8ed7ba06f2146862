import {
	NotRunError, OrderRefusedError, StaleFenceError, StoreConflictError, StoreUncertainError,
} from '../errors/index.js';
import {storeKey} from '../store/index.js';
import type {Store} from '../store/index.js';
import {removeSenders, updateUpstream} from './record.js';
import type {DomainRecord} from './record.js';

/** What this process knows of one of its sends. */
export const sendOutcome = {
	/** Not answered yet; it may still be on its way. */
	pending: 'pending',
	/** It can no longer arrive: answered, refused, or never sent. */
	ended: 'ended',
	/** Its answer was lost; it may arrive as long as the engine's process lives. */
	lost: 'lost',
} as const;

/** See {@link sendOutcome}. */
export type SendOutcome = (typeof sendOutcome)[keyof typeof sendOutcome];

type Send = {readonly upstreamId: string; outcome: SendOutcome; incarnation?: number; checks: number};

const maxAttempts = 4;
const maxTrackedSends = 4096;
/** A write of an intention that lost its answer may land late, so an ended send is looked for more than once. */
const checksBeforeForgotten = 10;

/**
The sends of this process to unfenced engines. A send whose answer was lost has ended once the engine shows a higher
incarnation than it showed after the loss: no connection reaches from one process of the engine into the next.
*/
export class SendTracker {
	readonly #sends = new Map<string, Send>();
	readonly #holder: string;
	#registeredCount = 0;

	constructor(holder: string) {
		this.#holder = holder;
	}

	/** Names a send before its intention is written. */
	register(upstreamId: string): string {
		this.#registeredCount++;
		const sendId = `${this.#holder}#${this.#registeredCount}`;
		this.#sends.set(sendId, {upstreamId, outcome: sendOutcome.pending, checks: 0});
		this.#forgetEnded();
		return sendId;
	}

	/** Notes how a send ended by its answer or error. */
	recordOutcome(sendId: string, error?: unknown): void {
		const send = this.#sends.get(sendId);
		if (send) {
			send.outcome = isEnded(error) ? sendOutcome.ended : sendOutcome.lost;
		}
	}

	/** Takes in an incarnation read after any loss on that engine. */
	onIncarnation(upstreamId: string, incarnation: number): void {
		for (const send of this.#sends.values()) {
			if (send.upstreamId !== upstreamId || send.outcome !== sendOutcome.lost) {
				continue;
			}

			send.incarnation ??= incarnation;
			if (incarnation > send.incarnation) {
				send.outcome = sendOutcome.ended;
			}
		}
	}

	/** Lists the names of sends that can no longer arrive. */
	listEnded(): ReadonlySet<string> {
		return new Set([...this.#sends].filter(([, send]) => send.outcome === sendOutcome.ended).map(([sendId]) => sendId));
	}

	/** Asks whether there is a send that may still have to be released. */
	hasEnded(): boolean {
		return [...this.#sends.values()].some(send => send.outcome === sendOutcome.ended);
	}

	/** Removes this process's ended sends from the record, also when another holds the authority; says whether it wrote. */
	async releaseEnded(store: Store, domain: string): Promise<boolean> {
		const isWritten = await this.#writeReleased(store, domain);
		this.#forgetChecked();
		return isWritten;
	}

	async #writeReleased(store: Store, domain: string): Promise<boolean> {
		for (let attempt = 0; attempt < maxAttempts; attempt++) {
			const found = await store.read(storeKey.orders(domain));
			const record = found && JSON.parse(found.value) as DomainRecord;
			const released = record && this.#removeEnded(record);
			if (!found || released === undefined || released === record) {
				return false;
			}

			try {
				await store.write(storeKey.orders(domain), JSON.stringify(released), found.revision);
				return true;
			} catch (error) {
				if (!(error instanceof StoreConflictError || error instanceof StoreUncertainError)) {
					throw error;
				}
			}
		}

		return false;
	}

	#removeEnded(record: DomainRecord): DomainRecord {
		const ended = this.listEnded();
		const affectedIds = Object.keys(record.upstreams).filter(id => record.upstreams[id]?.senders.some(send => ended.has(send)));
		let released = record;
		for (const id of affectedIds) {
			released = updateUpstream(released, id, upstream => removeSenders(upstream, ended));
		}

		return released;
	}

	#forgetChecked(): void {
		for (const [sendId, send] of this.#sends) {
			send.checks += send.outcome === sendOutcome.ended ? 1 : 0;
			if (send.checks >= checksBeforeForgotten) {
				this.#sends.delete(sendId);
			}
		}
	}

	/** A forgotten send stays in the record until an operator vouches for the VM. */
	#forgetEnded(): void {
		for (const [sendId, send] of this.#sends) {
			if (this.#sends.size <= maxTrackedSends) {
				return;
			}

			if (send.outcome === sendOutcome.ended) {
				this.#sends.delete(sendId);
			}
		}
	}
}

function isEnded(error: unknown): boolean {
	return error === undefined || error instanceof NotRunError || error instanceof StaleFenceError || error instanceof OrderRefusedError;
}

import {
	NotRunError, OrderRefusedError, StaleFenceError, StoreConflictError, StoreUncertainError,
} from '../errors/index.js';
import {storeKey} from '../store/index.js';
import type {Store} from '../store/index.js';
import {removeSenders, updateUpstream} from './record.js';
import type {DomainRecord} from './record.js';

/** What this process knows of one of its sends: one transmission of an order to an engine. */
export const sendOutcome = {
	/** Not answered yet; the engine may still receive it. */
	pending: 'pending',
	/** The engine can no longer receive it: it was answered, refused or never sent. */
	ended: 'ended',
	/** Its answer was lost; it may still arrive while the same process of the engine runs. */
	lost: 'lost',
} as const;

/** See {@link sendOutcome}. */
export type SendOutcome = (typeof sendOutcome)[keyof typeof sendOutcome];

type Send = {readonly upstreamId: string; outcome: SendOutcome; incarnation?: number; checks: number};

/** Maximum number of compare-and-swap attempts for one release. */
const maxAttempts = 4;
const maxTrackedSends = 4096;
/** Number of releases after which an ended send is forgotten. More than one, because a write of its intention whose answer was lost may reach the store late. */
const checksBeforeForgotten = 10;

/**
Tracks the sends of this process to unfenced engines. A send whose answer was lost has ended once the engine reports a
higher incarnation than it first reported after the loss, because a restarted engine can't receive data of its earlier
connections.
*/
export class SendTracker {
	readonly #sends = new Map<string, Send>();
	readonly #holder: string;
	#registeredCount = 0;

	constructor(holder: string) {
		this.#holder = holder;
	}

	/** Adds a pending send and returns its id; called before the intention of the order is written. */
	register(upstreamId: string): string {
		this.#registeredCount++;
		const sendId = `${this.#holder}#${this.#registeredCount}`;
		this.#sends.set(sendId, {upstreamId, outcome: sendOutcome.pending, checks: 0});
		this.#forgetEnded();
		return sendId;
	}

	/** Records that a send was answered, or failed with `error`. */
	recordOutcome(sendId: string, error?: unknown): void {
		const send = this.#sends.get(sendId);
		if (send) {
			send.outcome = isEnded(error) ? sendOutcome.ended : sendOutcome.lost;
		}
	}

	/** Handles the incarnation that an engine reported; to be called with states that were read after the sends were lost. */
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

	/** Lists the ids of the sends that can no longer arrive. */
	listEnded(): ReadonlySet<string> {
		return new Set([...this.#sends].filter(([, send]) => send.outcome === sendOutcome.ended).map(([sendId]) => sendId));
	}

	/** Whether there are ended sends that the domain record may still contain. */
	hasEnded(): boolean {
		return [...this.#sends.values()].some(send => send.outcome === sendOutcome.ended);
	}

	/** Removes this process's ended sends from the domain record, also while another entry holds the authority. Returns whether it wrote. */
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

	/** Forgets ended sends while there are too many. One that the domain record still contains stays there until an operator confirms that the VM's process is stopped. */
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

import type {EngineRole} from '../deployment/index.js';
import {OrderBlockedError} from '../errors/index.js';
import {upstreamState} from '../feed/index.js';
import type {UpstreamState} from '../feed/index.js';
import type {EngineTarget, OrderKind} from '../upstreams/index.js';

/** How far an order is. */
export const orderState = {
	/** It may have been sent. */
	intended: 'intended',
	/** The engine's own state showed its effect, or that it never will have one. */
	confirmed: 'confirmed',
} as const;

/** See {@link orderState}. */
export type OrderState = (typeof orderState)[keyof typeof orderState];

/** Why an upstream is kept out of service by operators. */
export const holdKind = {drained: 'drained', withdrawn: 'withdrawn'} as const;

/** See {@link holdKind}. */
export type HoldKind = (typeof holdKind)[keyof typeof holdKind];

/** The last order to an engine. */
export type OrderRecord = {
	readonly id: string;
	readonly fence: number;
	readonly kind: OrderKind;
	readonly target?: EngineTarget;
	readonly state: OrderState;
	/** How often it may have been sent, counted before each send. */
	readonly sends: number;
};

/** What the domain's authority knows of one upstream. */
export type UpstreamRecord = {
	readonly address: string;
	readonly service: string;
	readonly isEngine: boolean;
	/** Whether the engine refuses orders with an old fencing number. */
	readonly isFenced: boolean;
	readonly state: UpstreamState;
	/** What an engine was last seen set up as. */
	readonly setup?: EngineTarget;
	/** Role that the plan or an operator wants. */
	readonly role?: EngineRole;
	readonly order?: OrderRecord;
	/** Sends to an unfenced engine that may still arrive, each named after its holder. */
	readonly senders: readonly string[];
	readonly hold?: HoldKind;
	/** Out of service and without running requests. */
	readonly isDrained: boolean;
};

/** The order record of a failure domain, one value of the store. */
export type DomainRecord = {
	/** Rises with each takeover and whenever an order's answer was lost. */
	readonly fence: number;
	readonly holder: string;
	/** Id of the last write; settles a lost answer. */
	readonly write: string;
	/** Highest version of the configuration that was acted on. */
	readonly configuration: number;
	readonly upstreams: Readonly<Record<string, UpstreamRecord>>;
	/** VMs that operators vouched for as stopped, with the last incarnation that was heard of; 0 for none. */
	readonly stopped: Readonly<Record<string, number>>;
};

/** The record before any takeover. */
export const emptyRecord: DomainRecord = {
	fence: 0, holder: '', write: '', configuration: 0, upstreams: {}, stopped: {},
};

/** Changes one upstream of the record; an unknown one stays unknown. */
export function updateUpstream(record: DomainRecord, id: string, change: (upstream: UpstreamRecord) => UpstreamRecord): DomainRecord {
	const upstream = record.upstreams[id];
	return upstream ? {...record, upstreams: {...record.upstreams, [id]: change(upstream)}} : record;
}

/** Removes one upstream from the record. */
export function removeUpstream(record: DomainRecord, id: string): DomainRecord {
	const {[id]: _removed, ...upstreams} = record.upstreams;
	return {...record, upstreams};
}

/**
Writes the intention of a new order, with the name of its send on an unfenced engine.
Throws `OrderBlockedError` while another order is open or an earlier send may still arrive.
*/
export function addIntention(upstream: UpstreamRecord, order: OrderRecord, sendId: string | undefined): UpstreamRecord {
	if (upstream.order?.state === orderState.intended) {
		throw new OrderBlockedError(`order ${upstream.order.id} is not settled`);
	}

	checkSenders(upstream);
	return {...upstream, order, senders: sendId === undefined ? [] : [sendId]};
}

/** Writes that the same order may be sent once more. */
export function addRepeat(upstream: UpstreamRecord, id: string, sendId: string): UpstreamRecord {
	if (upstream.order?.id !== id) {
		throw new OrderBlockedError(`order ${id} is not the last one`);
	}

	const order = {...upstream.order, state: orderState.intended, sends: upstream.order.sends + 1};
	return {...upstream, order, senders: [...upstream.senders, sendId]};
}

/** Closes the order; `ended` are the sends that can no longer arrive. */
export function confirmOrder(upstream: UpstreamRecord, id: string, endedSends: ReadonlySet<string>): UpstreamRecord {
	const released = removeSenders(upstream, endedSends);
	if (released.order?.id !== id) {
		return released;
	}

	const {target, ...order} = released.order;
	const confirmed = {...order, state: orderState.confirmed};
	// Only a repeat needs the target again.
	return {...released, order: released.senders.length > 0 ? {...confirmed, target} : confirmed};
}

/** Drops the order, which has had no effect and never will. */
export function removeOrder(upstream: UpstreamRecord, id: string): UpstreamRecord {
	if (upstream.order?.id !== id) {
		return upstream;
	}

	checkSenders(upstream);
	const {order: _removed, ...rest} = upstream;
	return rest;
}

/** Removes sends that can no longer arrive. */
export function removeSenders(upstream: UpstreamRecord, endedSends: ReadonlySet<string>): UpstreamRecord {
	const senders = upstream.senders.filter(sendId => !endedSends.has(sendId));
	return senders.length === upstream.senders.length ? upstream : {...upstream, senders};
}

/** Asks whether an upstream takes work. */
export function isServing(upstream: UpstreamRecord): boolean {
	return upstream.state === upstreamState.serving;
}

function checkSenders(upstream: UpstreamRecord): void {
	if (upstream.senders.length > 0) {
		throw new OrderBlockedError(`sends of ${upstream.senders.join(', ')} may still arrive`, {props: {senders: upstream.senders}});
	}
}

import type {EngineRole} from '../deployment/index.js';
import {OrderBlockedError} from '../errors/index.js';
import {upstreamState} from '../feed/index.js';
import type {UpstreamState} from '../feed/index.js';
import type {EngineTarget, OrderKind} from '../upstreams/index.js';

/** Progress of an order. */
export const orderState = {
	/** Its intention is written, and it may have been sent. */
	intended: 'intended',
	/** No longer open: the engine reported its effect, or it had none but a send of it may still arrive. */
	confirmed: 'confirmed',
} as const;

/** See {@link orderState}. */
export type OrderState = (typeof orderState)[keyof typeof orderState];

/** Why operators keep an upstream out of service. */
export const holdKind = {drained: 'drained', withdrawn: 'withdrawn'} as const;

/** See {@link holdKind}. */
export type HoldKind = (typeof holdKind)[keyof typeof holdKind];

/** The last order to an engine, as the domain record has it. */
export type OrderRecord = {
	readonly id: string;
	readonly fence: number;
	readonly kind: OrderKind;
	readonly target?: EngineTarget;
	readonly state: OrderState;
	/** Number of times that it may have been sent; raised before each send. */
	readonly sends: number;
};

/** What the domain record contains of one upstream. */
export type UpstreamRecord = {
	readonly address: string;
	readonly service: string;
	readonly isEngine: boolean;
	/** Whether the engine refuses orders with a lower fencing number than the highest it has seen. */
	readonly isFenced: boolean;
	readonly state: UpstreamState;
	/** Role, model, version and adapters that an engine was last seen with. */
	readonly setup?: EngineTarget;
	/** Role that the role plan or an operator requires. */
	readonly role?: EngineRole;
	readonly order?: OrderRecord;
	/** Ids of sends to an unfenced engine that may still arrive; each begins with the holder that sent it. */
	readonly senders: readonly string[];
	/** Set while operators keep the upstream out of service. */
	readonly hold?: HoldKind;
	/** Whether it is out of service and has no requests in progress. */
	readonly isDrained: boolean;
};

/** The record of a failure domain, stored as one value. Only the holder of the authority changes it, except that any entry removes its own ended sends. */
export type DomainRecord = {
	/** Fencing number: raised by each takeover, and to settle an order of the same term whose answer was lost. */
	readonly fence: number;
	/** Entry that holds the authority: its VM and incarnation, as `vm/incarnation`. */
	readonly holder: string;
	/** Id of the last write: shows whether a write whose answer was lost took effect. */
	readonly write: string;
	/** Highest version of the configuration that has been applied to the record. */
	readonly configuration: number;
	readonly upstreams: Readonly<Record<string, UpstreamRecord>>;
	/** VMs whose process operators have confirmed as stopped, each with the latest known incarnation of its entry; 0 if none was known. */
	readonly stopped: Readonly<Record<string, number>>;
};

/** The record before the first takeover. */
export const emptyRecord: DomainRecord = {
	fence: 0, holder: '', write: '', configuration: 0, upstreams: {}, stopped: {},
};

/** Changes one upstream of the record; returns the same record if it has no such upstream. */
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
Adds the intention of a new order, with the id of its send for an unfenced engine.
Throws `OrderBlockedError` while another order is open or an earlier send may still arrive.
*/
export function addIntention(upstream: UpstreamRecord, order: OrderRecord, sendId: string | undefined): UpstreamRecord {
	if (upstream.order?.state === orderState.intended) {
		throw new OrderBlockedError(`no new order can be added: order ${upstream.order.id} is not settled`);
	}

	checkSenders(upstream);
	return {...upstream, order, senders: sendId === undefined ? [] : [sendId]};
}

/** Opens the last order again for one more send. Throws `OrderBlockedError` when `id` is not the last order's. */
export function addRepeat(upstream: UpstreamRecord, id: string, sendId: string): UpstreamRecord {
	if (upstream.order?.id !== id) {
		throw new OrderBlockedError(`order ${id} is not the last one of its upstream and is not sent again`);
	}

	const order = {...upstream.order, state: orderState.intended, sends: upstream.order.sends + 1};
	return {...upstream, order, senders: [...upstream.senders, sendId]};
}

/** Marks the order as confirmed and removes the ended sends. */
export function confirmOrder(upstream: UpstreamRecord, id: string, endedSends: ReadonlySet<string>): UpstreamRecord {
	const released = removeSenders(upstream, endedSends);
	if (released.order?.id !== id) {
		return released;
	}

	const {target, ...order} = released.order;
	const confirmed = {...order, state: orderState.confirmed};
	// The target is only needed to send the order again.
	return {...released, order: released.senders.length > 0 ? {...confirmed, target} : confirmed};
}

/** Removes an order that has had no effect and can no longer have one. Throws `OrderBlockedError` while a send may still arrive. */
export function removeOrder(upstream: UpstreamRecord, id: string): UpstreamRecord {
	if (upstream.order?.id !== id) {
		return upstream;
	}

	checkSenders(upstream);
	const {order: _removed, ...rest} = upstream;
	return rest;
}

/** Removes the sends that can no longer arrive. */
export function removeSenders(upstream: UpstreamRecord, endedSends: ReadonlySet<string>): UpstreamRecord {
	const senders = upstream.senders.filter(sendId => !endedSends.has(sendId));
	return senders.length === upstream.senders.length ? upstream : {...upstream, senders};
}

/** Whether an upstream takes new requests. */
export function isServing(upstream: UpstreamRecord): boolean {
	return upstream.state === upstreamState.serving;
}

function checkSenders(upstream: UpstreamRecord): void {
	if (upstream.senders.length > 0) {
		throw new OrderBlockedError(`the last order can be neither replaced nor removed: sends ${upstream.senders.join(', ')} may still arrive`, {props: {senders: upstream.senders}});
	}
}

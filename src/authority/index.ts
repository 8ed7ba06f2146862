/** The authority over a failure domain, held by one entry at a time: its lease and fence, and the orders that bring upstreams to their desired state. */
export {Authority, leaseTtlMs} from './authority.js';
export {AuthorityStatus} from './lease.js';
export type {AuthorityDependencies} from './dependencies.js';
export {orderState} from './record.js';
export type {
	DomainRecord, HoldKind, OrderRecord, OrderState, UpstreamRecord,
} from './record.js';

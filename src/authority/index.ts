/** One authority at a time in each failure domain: lease, fence, orders, drains, takeovers and repair. */
export {Authority, leaseTtlMs} from './authority.js';
export {AuthorityStatus} from './lease.js';
export type {AuthorityDependencies} from './dependencies.js';
export {orderState} from './record.js';
export type {
	DomainRecord, HoldKind, OrderRecord, OrderState, UpstreamRecord,
} from './record.js';

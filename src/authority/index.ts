/** One authority at a time in each failure domain: lease, fence, orders, drains, takeovers and repair. */
export {Authority, leaseTtlMs} from './authority.js';
export {Holdership} from './lease.js';
export type {AuthorityOptions} from './options.js';
export {orderState} from './record.js';
export type {
	DomainRecord, HoldKind, OrderNote, OrderState, UpstreamRecord,
} from './record.js';

import type {EngineClient} from '../upstreams/index.js';
import type {DomainRecordStore} from './recordstore.js';
import type {SendTracker} from './sendtracker.js';
import type {UpstreamRecord} from './record.js';

/** Kind and detail of an event that is recorded in the history. */
export type HistoryNote = {readonly kind: string; readonly detail: string};

/** What the procedures of one term of authority share. */
export type TermContext = {
	readonly domain: string;
	readonly recordStore: DomainRecordStore;
	readonly sendTracker: SendTracker;
	/** Ids of the orders of this term whose answer arrived. */
	readonly answeredOrders: Set<string>;
	readonly createId: () => string;
	/** Throws `AuthorityLostError` when the lease has expired by this process's clocks, another entry holds the record, or the term is over. */
	readonly checkHeld: () => void;
	readonly getEngine: (id: string, upstream: UpstreamRecord) => EngineClient;
	/** Records an event of an upstream in the history, with the one before it as its cause. */
	readonly recordUpstreamEvent: (id: string, note: HistoryNote) => void;
	/** Counts an order in the metrics, by its outcome. */
	readonly countOrder: (outcome: string) => void;
};

/** The upstream that a procedure works on: its id and its record. */
export type Subject = {readonly id: string; readonly upstream: UpstreamRecord};

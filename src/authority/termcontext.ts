import type {EngineClient} from '../upstreams/index.js';
import type {DomainRecordStore} from './recordstore.js';
import type {SendTracker} from './sendtracker.js';
import type {UpstreamRecord} from './record.js';

/** What a step did or waits for, for the history. */
export type HistoryNote = {readonly kind: string; readonly detail: string};

/** What the procedures of one term of authority work with. */
export type TermContext = {
	readonly domain: string;
	readonly recordStore: DomainRecordStore;
	readonly sendTracker: SendTracker;
	/** Orders of this term that were answered; a lost one is not among them. */
	readonly answeredOrders: Set<string>;
	readonly createId: () => string;
	/** Throws `AuthorityLostError` when the lease lapsed by this process's clocks or the record is another's. */
	readonly checkHeld: () => void;
	readonly getEngine: (id: string, upstream: UpstreamRecord) => EngineClient;
	/** Records a change of an upstream, caused by the one before it. */
	readonly recordUpstreamEvent: (id: string, note: HistoryNote) => void;
	/** Counts an order by how it ended. */
	readonly countOrder: (outcome: string) => void;
};

/** One upstream of a term. */
export type Subject = {readonly id: string; readonly upstream: UpstreamRecord};

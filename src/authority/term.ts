import type {EngineClient} from '../upstreams/index.js';
import type {OrderBook} from './book.js';
import type {Claims} from './claims.js';
import type {UpstreamRecord} from './record.js';

/** What a step did or waits for, for the history. */
export type Note = {readonly kind: string; readonly detail: string};

/** What the procedures of one term of authority work with. */
export type Term = {
	readonly domain: string;
	readonly book: OrderBook;
	readonly claims: Claims;
	/** Orders of this term that were answered; a lost one is not among them. */
	readonly answered: Set<string>;
	readonly createId: () => string;
	/** Throws `AuthorityLostError` when the lease lapsed by this process's clocks or the record is another's. */
	readonly checkHeld: () => void;
	readonly getEngine: (id: string, known: UpstreamRecord) => EngineClient;
	/** Records a change of an upstream, caused by the one before it. */
	readonly recordUpstream: (id: string, note: Note) => void;
	/** Counts an order by how it ended. */
	readonly countOrder: (outcome: string) => void;
};

/** One upstream of a term. */
export type Subject = {readonly id: string; readonly known: UpstreamRecord};

import {callStep} from '../procedures/index.js';
import type {Procedure} from '../procedures/index.js';
import type {OrderBook} from './book.js';

/**
Takes a domain's authority: reads the order record and raises its fence by compare-and-swap. Open intentions are then
settled, engine by engine, before any other order: `decideAction` puts that first.
*/
export function * takeOver(book: OrderBook): Procedure<void> {
	yield * callStep('read the record to take over', async () => book.load());
	yield * callStep('raise the fence to take over', async () => book.acquire());
}

import {callStep} from '../procedures/index.js';
import type {Procedure} from '../procedures/index.js';
import type {DomainRecordStore} from './recordstore.js';

/**
Takes a domain's authority: reads the order record and raises its fence by compare-and-swap. Open intentions are then
settled, engine by engine, before any other order: `decideAction` puts that first.
*/
export function * takeOver(recordStore: DomainRecordStore): Procedure<void> {
	yield * callStep('read the record to take over', async () => recordStore.load());
	yield * callStep('raise the fence to take over', async () => recordStore.acquire());
}

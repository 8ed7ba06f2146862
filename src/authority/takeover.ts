import {callStep} from '../procedures/index.js';
import type {Procedure} from '../procedures/index.js';
import type {DomainRecordStore} from './recordstore.js';

/**
Takes over the authority of a domain: reads the domain record and raises its fence by compare-and-swap. Each engine's open
order is settled afterwards, before any other order to that engine: `decideAction` puts that first.
*/
export function * takeOver(recordStore: DomainRecordStore): Procedure<void> {
	yield * callStep('read the record to take over', async () => recordStore.load());
	yield * callStep('raise the fence to take over', async () => recordStore.acquire());
}

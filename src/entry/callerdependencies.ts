import type {Claims} from '../claims/index.js';
import type {Upstream} from '../deployment/index.js';
import type {RequestIds} from '../serving/index.js';
import type {ServiceClient} from '../upstreams/index.js';
import type {EntryDependencies} from './dependencies.js';
import type {GracefulStop} from './stop.js';

/** What the handlers of callers' requests need, beyond the dependencies that the whole entry shares. */
export type CallerDependencies = EntryDependencies & {
	readonly ids: RequestIds;
	readonly stop: GracefulStop;
	readonly claims: Claims;
	readonly getService: (upstream: Upstream) => ServiceClient;
	/** Returns a uniform random number in [0, 1). */
	readonly getRandom: () => number;
};

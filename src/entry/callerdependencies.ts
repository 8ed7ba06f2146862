import type {Claims} from '../claims/index.js';
import type {Upstream} from '../deployment/index.js';
import type {RequestIds} from '../serving/index.js';
import type {ServiceClient} from '../upstreams/index.js';
import type {EntryDependencies} from './dependencies.js';
import type {GracefulStop} from './stop.js';

/** What the callers' side needs beside the entry's parts. */
export type CallerDependencies = EntryDependencies & {
	readonly ids: RequestIds;
	readonly stop: GracefulStop;
	readonly claims: Claims;
	readonly getService: (upstream: Upstream) => ServiceClient;
	/** Draws a number from 0 up to 1. */
	readonly getRandom: () => number;
};

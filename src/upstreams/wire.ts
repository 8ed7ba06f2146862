/**
Field names and paths of the protocol with engines and services: HTTP with JSON bodies; an answer to `generate`
is a stream of server-sent events whose `id` is the offset. Refusals that say "not run" carry `x-not-run: 1`.
*/
export const enginePath = {
	generate: '/v1/generate',
	cancel: '/v1/cancel',
	load: '/v1/load',
	state: '/v1/state',
	orders: '/v1/orders',
	exportKv: '/v1/kv/export',
	importKv: '/v1/kv/import',
	cacheEvents: '/v1/cache-events',
} as const;

/** Headers that the system and its upstreams understand. */
export const upstreamHeader = {
	/** On a refusal: the request was not run and never will be. */
	notRun: 'x-not-run',
	/** On a call to a service and on its answer: the request's id. */
	requestId: 'x-request-id',
} as const;

/** Path at which a service says how many calls it has in progress. */
export const serviceLoadPath = '/-/load';

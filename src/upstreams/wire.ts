/**
Paths of the protocol of engines: HTTP with JSON bodies. The answer to `generate` is a stream of server-sent events whose `id` is
the offset of the token. A refusal with the header `x-not-run: 1` means that no part of the request was run.
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

/** Headers that upstreams and this system exchange. */
export const upstreamHeader = {
	/** On a refusal: `1` if the request was not run and never will be. */
	notRun: 'x-not-run',
	/** On a call to a service and on its answer: the id of the request. On `generate` and its answer: the id of the send, another one each time. */
	requestId: 'x-request-id',
} as const;

/** Path at which a service reports the number of calls that it has in progress. */
export const serviceLoadPath = '/-/load';

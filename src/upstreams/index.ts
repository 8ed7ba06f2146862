/** Model engines and application services: ports and the adapters over HTTP. */
export {EngineClient, enginePhase, orderKind} from './engine.js';
export type {
	CacheEvent, CacheEvents, EndEvent, EnginePhase, EngineState, EngineTarget, GenerateEvent, GenerateRequest,
	KvHandle, LoadReport, Order, OrderKind, TokenEvent,
} from './engine.js';
export {ServiceClient, ServiceConnection} from './service.js';
export type {ServiceAnswer, ServiceCall} from './service.js';
export {enginePath, serviceLoadPath, upstreamHeader} from './wire.js';
export {HttpEngine} from './enginehttp.js';
export type {ConnectionLimits} from './connections.js';
export {readServerEvents} from './sse.js';
export {isNeverSent} from './sent.js';
export {blockTokens, listPrefixes} from './prefixes.js';
export type {PrefixSource} from './prefixes.js';
export {HttpService} from './servicehttp.js';
export type {ServiceRelay} from './servicehttp.js';

/** Clients of model engines and application services: the abstract clients, and their implementations over HTTP. */
export {
	EngineClient, enginePhase, OrderConnection, orderKind,
} from './engine.js';
export type {
	CacheEvent, CacheEvents, EndEvent, EnginePhase, EngineState, EngineTarget, GenerateEvent, GenerateRequest,
	KvHandle, LoadReport, Order, OrderKind, TokenEvent,
} from './engine.js';
export {ServiceClient, ServiceConnection} from './service.js';
export type {ServiceAnswer, ServiceCall} from './service.js';
export {enginePath, serviceLoadPath, upstreamHeader} from './wire.js';
export {HttpEngine} from './httpengine.js';
export type {ConnectionLimits} from './connections.js';
export {readServerEvents} from './sse.js';
export {isConnectError} from './connecterror.js';
export {createConnector} from './connector.js';
export {blockTokens, hashPrefixes} from './prefixes.js';
export type {PrefixInput} from './prefixes.js';
export {HttpService} from './httpservice.js';
export type {ServiceRelay} from './httpservice.js';

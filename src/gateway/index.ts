/** The serving core: relays callers' requests unchanged to engines, and complete answers back. */
export {Attempt} from './attempt.js';
export {EventSplitter} from './events.js';
export {Gateway} from './gateway.js';
export {
	answerFraming, CallerAnswer, EngineLink, EngineReply,
} from './ports.js';
export type {
	AnswerFraming, EngineCall, EngineTarget, KvCacheHandle,
} from './ports.js';
export {LogReporter} from './reporter.js';
export {chooseService, RouteTable} from './routes.js';
export type {GatewayDependencies} from './served.js';
export {ServiceTimes} from './servicetimes.js';
export {requestOutcome, RequestReporter, RequestTrace} from './trace.js';
export type {AttemptTrace, RequestOutcome} from './trace.js';
export {requestKind} from './types.js';
export type {
	IngressLimits, GatewayConfiguration, GatewayRequest, HeaderList, ModelEngineSpec, Prompt, PrefixBlock, RequestKind, Route, ServiceShare, ServiceSpec,
} from './types.js';

/** The serving core: requests that pass unchanged from callers to engines, and answers that come back whole. */
export {Attempt, callEngine} from './attempt.js';
export {EventCutter} from './events.js';
export {Gateway} from './gateway.js';
export {CallerAnswer, EngineLink, EngineReply} from './ports.js';
export type {EngineCall, EngineTarget, PromptHandle} from './ports.js';
export {LoggedReport} from './report.js';
export {chooseService, RouteTable} from './routes.js';
export type {GatewayParts} from './served.js';
export {ServiceTimes} from './servicetimes.js';
export {requestOutcome, RequestReport, RequestTrace} from './trace.js';
export type {AttemptTrace, RequestOutcome} from './trace.js';
export {requestKind} from './types.js';
export type {
	CallerLimits, GatewayConfiguration, GatewayRequest, HeaderList, ModelEngineSpec, Prompt, PromptPart, RequestKind, Route, ServiceShare, ServiceSpec,
} from './types.js';

/** The operators' text: what it says once checked. */
export {engineRole, serviceKind} from './types.js';
export type {
	ApplicationService, CallerLimits, Deployment, EngineRole, ModelService, Service, ServiceKind, Upstream,
} from './types.js';
export {parseDeployment} from './parse.js';
export {computeTextHash} from './hash.js';

/** Parses, validates and compares the operators' configuration text. */
export {engineRole, serviceKind} from './types.js';
export type {
	ApplicationService, CallerLimits, Deployment, EngineRole, ModelService, Service, ServiceKind, Upstream,
} from './types.js';
export {
	createInvalidTextError, maxTextBytes, parseDeployment, parseToml,
} from './parse.js';
export {compareDeployments, formatDifferences} from './compare.js';
export type {Difference} from './compare.js';
export {formatProblems, ProblemList} from './problems.js';
export {addressSchema} from './wire.js';
export {computeTextHash} from './hash.js';

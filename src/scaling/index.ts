/** Decides how many engines of which kind a service needs in which failure domain, and orders them. */
export type {
	EngineGroup, ScalingFacts, ScalingSpec, WorkSummary,
} from './types.js';
export {WorkMeter} from './workmeter.js';
export type {MeasuredArrival} from './workmeter.js';
export {computeNeed} from './need.js';
export type {EngineNeed} from './need.js';
export {planEngines, sumPlan} from './plan.js';
export type {DomainPlan} from './plan.js';
export {decideOrders} from './decide.js';
export type {ScalingDecision} from './decide.js';
export {
	formatOrders, formatOrdersKey, formatScalingDuty, parseOrders,
} from './record.js';
export type {OrderRecord} from './record.js';
export {createGroups} from './groups.js';
export type {ScalingEngine} from './groups.js';
export {EngineOrderer} from './orderer.js';
export type {OrdererDependencies, OrderReport} from './orderer.js';

/** Facts that entries pass on to each other; state that only rises. */
export {upstreamState} from './facts.js';
export type {
	ConfigurationFact, DemandFact, Fact, FactKind, FactValues, MemberFact, UpstreamFact, UpstreamState,
} from './facts.js';
export {FactTable} from './table.js';
export type {FactListener} from './table.js';

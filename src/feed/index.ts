/** Gossip between entries: a replicated table of versioned facts and the protocol that keeps the copies in step. */
export {upstreamState} from './facts.js';
export type {
	ConfigurationFact, DemandFact, Fact, FactKind, FactValues, MemberFact, UpstreamFact, UpstreamState,
} from './facts.js';
export {FactTable} from './table.js';
export type {FactListener} from './table.js';
export {messageKind} from './messages.js';
export type {
	DigestMessage, FactsMessage, HeartbeatMessage, HelloMessage, PeerMessage, TextMessage, TextRequestMessage, WireFact,
} from './messages.js';
export {PeerLink, PeerNetwork} from './port.js';
export type {LinkHandlers} from './port.js';
export {computeRank, hashText, sortByRank} from './rendezvous.js';
export {
	Gossip, heartbeatIntervalMs, silenceTimeoutMs,
} from './gossip.js';
export type {GossipOptions} from './gossip.js';
export {GossipHub} from './hub.js';
export type {HubOptions} from './hub.js';
export {listTargets} from './targets.js';
export type {Neighbor} from './targets.js';

/** Decayed sums, fitted lines, seeded randomness and rendezvous choice, shared by the decisions. */
export {DecayedSum} from './decayed.js';
export {LineFit} from './line.js';
export type {Line} from './line.js';
export {Peak} from './peak.js';
export {RandomSource} from './random.js';
export {computeScore, highestScore, selectOwners} from './rendezvous.js';

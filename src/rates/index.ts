/** Decayed sums, fitted lines, seeded randomness and rendezvous choice, shared by the decisions. */
export {DecayedSum} from './decayed.js';
export {LinearFit} from './fit.js';
export type {LinearModel} from './fit.js';
export {PeakRate} from './peakrate.js';
export {RandomSource} from './random.js';
export {computeRendezvousScore, maxRendezvousScore, selectOwners} from './rendezvous.js';

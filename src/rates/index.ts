/** Decayed sums, linear fits, seeded randomness and rendezvous hashing. */
export {DecayedSum} from './decayed.js';
export {LinearFit} from './fit.js';
export type {LinearModel} from './fit.js';
export {PeakRate} from './peakrate.js';
export {RandomSource} from './random.js';
export {computeRendezvousScore, maxRendezvousScore, selectOwners} from './rendezvous.js';

/** Decayed sums, linear fits, seeded randomness, spread of calls over time and rendezvous hashing. */
export {DecayedSum} from './decayed.js';
export {LinearFit} from './fit.js';
export type {LinearModel} from './fit.js';
export {PlaneFit} from './planefit.js';
export type {PlaneModel} from './planefit.js';
export {PeakRate} from './peakrate.js';
export {RandomSource} from './random.js';
export {computeSpreadMs} from './spread.js';
export {computeRendezvousScore, maxRendezvousScore, selectOwners} from './rendezvous.js';

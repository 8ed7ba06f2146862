/** How often a request may be tried again. */
export {ArrivalBudget} from './arrivals.js';
export type {ArrivalBound} from './arrivals.js';
export {RetryBudget} from './budget.js';

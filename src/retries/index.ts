/** How often a request may be tried again. */
export {WindowRetryBudget} from './windowbudget.js';
export type {RetryLimit} from './windowbudget.js';
export {RetryBudget} from './budget.js';

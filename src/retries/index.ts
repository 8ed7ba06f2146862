/** Budgets that limit retries. */
export {WindowRetryBudget} from './windowbudget.js';
export type {RetryLimit} from './windowbudget.js';
export {RetryBudget} from './budget.js';

/** How often a request may be tried again. */
export {RetryBudget} from './budget.js';

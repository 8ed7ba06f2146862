/** Customers and their API keys, and how old the knowledge of them is. */
export {CustomerTable, normalizeCustomerName} from './table.js';
export type {Customer, CustomerKeys} from './table.js';
export {KnowledgeAge} from './age.js';
export {Credential} from './credential.js';
export {CustomerAccess} from './access.js';
export type {AccessBounds, AccessRefusal} from './access.js';

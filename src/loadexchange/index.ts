/** Passes the load reports of application engines on between the entries of a failure domain. */
export {LoadExchange} from './exchange.js';
export type {LoadExchangeDependencies} from './exchange.js';
export {chooseHub} from './hub.js';
export type {HubCandidate} from './hub.js';
export {isLoadMessage} from './messages.js';

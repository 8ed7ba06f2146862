/** Publishes the local entry's state and tracks which other entries are live. */
export {Membership} from './membership.js';
export type {Member, MembershipDependencies} from './membership.js';
export {choosePoller} from './poller.js';

/** Who is there: each entry's own standing, and what it knows of the others. */
export {Membership} from './membership.js';
export type {Member, MembershipDependencies} from './membership.js';
export {choosePoller} from './poller.js';

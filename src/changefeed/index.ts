/** Passes the changes of the store on between entries of a failure domain, so that one of them watches it for all. */
export {ContactAsker} from './asker.js';
export type {ContactAskerDependencies} from './asker.js';
export {ConfigurationAsker, maxConfigurationLength} from './configurations.js';
export type {HeldConfiguration} from './configurations.js';
export {StoreContact} from './contact.js';
export type {ContactSpan, StoreOutage} from './contact.js';
export {ChangeFollower} from './follower.js';
export type {ChangeFollowerDependencies, FollowedChanges} from './follower.js';
export {RegistrationGrace} from './grace.js';
export {isFeedMessage, parseFeedItems, toFeedItems} from './messages.js';
export type {FeedMessage} from './messages.js';
export {ChangePublisher} from './publisher.js';
export {chooseReader, listFallbackReaders} from './reader.js';
export type {ReaderCandidate} from './reader.js';
export type {ChangeBatch, StoreChange, StorePosition} from './types.js';

/** Places of generation services, shared by all entries: who may send to which engine, and who waits. */
export {KeptPlace, PlaceKeeper} from './keeper.js';
export type {KeeperParts} from './keeper.js';
export {listKeepers} from './members.js';
export type {PlaceMember} from './members.js';
export {parseItems, placeMessageKind, toItems} from './messages.js';
export type {PlaceMessage} from './messages.js';
export {RecentRefusals} from './refusals.js';
export {KeeperLostError, RemoteKeeper, RemotePlace} from './remote.js';
export {servePlaces} from './serve.js';
export {SharedPlaces} from './shared.js';
export type {SharedPlacesParts} from './shared.js';
export {HeldPlace, PlaceSource} from './types.js';
export type {GrantedEngines, PlaceAsk} from './types.js';

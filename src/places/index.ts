/** Reservations of engine capacity for generations. For each service one entry allocates on behalf of all entries. */
export {LocalReservation, SlotAllocator} from './allocator.js';
export type {SlotAllocatorDependencies} from './allocator.js';
export {listAllocators} from './candidates.js';
export type {AllocatorCandidate} from './candidates.js';
export {parseItems, allocatorMessageKind, toItems} from './messages.js';
export type {AllocatorMessage} from './messages.js';
export {RecentRefusals} from './refusals.js';
export {AllocatorLostError, RemoteAllocator, RemoteReservation} from './remoteallocator.js';
export {serveReservations} from './serve.js';
export {FailoverReservations} from './failover.js';
export type {FailoverDependencies} from './failover.js';
export {PermitProvider, Reservation, ReservationProvider} from './types.js';
export type {PermitAnswer, ReservedEngines, ReservationRequest} from './types.js';
export {FailoverPermits} from './failoverpermits.js';

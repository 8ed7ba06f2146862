/** The platform's key-value service and list of VMs: ports, keys, and the adapters over HTTP. */
export {
	Store, VmList, absentRevision, vmState,
} from './port.js';
export type {
	LeaseGrant, VersionedValue, VmRecord, VmState,
} from './port.js';
export {leaseName, storeKey} from './keys.js';
export {HttpStore, HttpVmList} from './http.js';
export {CountedStore, storeOutcome} from './counted.js';
export type {StoreOutcome} from './counted.js';

/** Stand-ins for the users' platform: its store, its engines, and the calls that holders of duties make. */
export {
	callersHost, createConfiguration, createPromptHeaders, createSettingsText,
} from './configuration.js';
export {dutyApiMode, FleetDutyApi} from './dutyapi.js';
export type {DutyApiMode, DutyCall} from './dutyapi.js';
export {engineFault, FleetEngine, listBlocks} from './engine.js';
export type {
	Arrival, EngineFault, FleetEngineOptions, LimitChange,
} from './engine.js';
export {findLimitBreach} from './requestlimit.js';
export type {LimitBreach} from './requestlimit.js';
export {FleetStore, storeMode} from './store.js';
export type {StoreCopy, StoreMode} from './store.js';

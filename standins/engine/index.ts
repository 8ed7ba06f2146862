/** Stand-in for a model engine, usable in the same process or over HTTP. */
export {Answer, hashAnswerText} from './answer.js';
export {EngineCore} from './core.js';
export {EngineFaults} from './faults.js';
export type {StreamFaults} from './faults.js';
export {engineEvent} from './journal.js';
export type {EngineEvent, EngineRow} from './journal.js';
export {LocalEngine} from './local.js';
export {defaultEngineOptions} from './options.js';
export type {EngineOptions} from './options.js';
export {EngineServer} from './server.js';
export type {EngineControl} from './server.js';

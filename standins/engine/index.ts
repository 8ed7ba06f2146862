/** The stand-in of a model engine: in this process for tests, or over HTTP. */
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

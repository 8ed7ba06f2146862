/** Procedures: control flow as generators of named steps, so that a test can inject a fault at each step. */
export {callStep, runProcedure} from './procedure.js';
export type {Procedure, Step, StepHooks} from './procedure.js';

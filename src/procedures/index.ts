/** Control flow: a procedure is a generator of named steps, so that a test can fault each of them. */
export {callStep, runProcedure} from './procedure.js';
export type {Procedure, Step, StepHooks} from './procedure.js';

/** Bounds on what callers and engines make this process hold, and which client is refused first beyond them; decisions without I/O. */
export {ChunkBuffer} from './chunkbuffer.js';
export {computeIntakeBounds} from './bounds.js';
export type {IntakeBounds, MachineLimits} from './bounds.js';
export {ByteBudget, heldKind} from './budget.js';
export type {HeldKind} from './budget.js';
export {chooseIdle, isBodyLate, selectRefused} from './refusals.js';
export type {BodyTimes, Holder, IdleConnection} from './refusals.js';

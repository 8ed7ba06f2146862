/** Refuses at once the requests that can't be answered in time, with a time after which to retry. */
export {DeadlineAdmission, AdmissionPolicy, UnlimitedAdmission} from './admission.js';
export type {AdmissionRequest, AdmissionDecision} from './admission.js';
export {computeRetryAfterMs} from './retryafter.js';

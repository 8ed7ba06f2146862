/** What can't be answered in time is refused at once, with a time to come back. */
export {DeadlineAdmission, AdmissionPolicy, UnlimitedAdmission} from './admission.js';
export type {AdmissionRequest, AdmissionDecision} from './admission.js';
export {computeRetryAfterMs} from './retryafter.js';

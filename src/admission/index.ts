/** What can't be answered in time is refused at once, with a time to come back. */
export {Admission, AdmissionPort, OpenAdmission} from './admission.js';
export type {AdmissionRequest, Verdict} from './admission.js';
export {computeReturnMs} from './comeback.js';

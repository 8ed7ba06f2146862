/** Serving: from a caller's request to the whole answer. */
export {serveRelayed, serveStream} from './stream.js';
export type {
	AnswerSink, EngineConnection, StreamJob, StreamParts,
} from './job.js';
export {AnswerCheck} from './check.js';
export {computeLimits} from './limits.js';
export type {StreamLimits} from './limits.js';
export {RequestIds} from './ids.js';
export type {RequestId, ResumePoint} from './ids.js';
export {
	hashAsk, parseChat, parseHeaders,
} from './request.js';
export type {CallHeaders, ChatAsk} from './request.js';
export {decideOutcome, decideRefusal} from './refusal.js';
export type {Refusal} from './refusal.js';
export {
	createProof, isProof, relayHeader, relayPath,
} from './relayauth.js';
export {
	createChunkWriter, createCompletion, createErrorBody, createModelList, lastEventIdHeader, streamEnd,
} from './wire.js';
export type {
	ChunkWriter, CompletionHead, ErrorBody, ErrorParticulars, Ran, Usage,
} from './wire.js';
export {
	callOutcome, createOutcome, sendOnce, sendRepeatable, serveOnce, serveRepeatable,
} from './call.js';
export type {
	CallJob, CallOutcome, CallParts, DoneOutcome, NotRunOutcome, UnknownOutcome,
} from './call.js';
export {serveKeyed} from './keyedcall.js';
export type {ClaimPort, KeyedJob, KeyedParts} from './keyedcall.js';
export type {WholeAnswer} from './wholeanswer.js';
export {isRepeatable, selectHeaders} from './calls.js';

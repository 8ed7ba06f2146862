/** Serves callers' requests, from the checked request to the complete answer. */
export {serveRelayed, serveStream} from './stream.js';
export type {
	AnswerSink, EngineConnection, StreamDependencies, StreamJob,
} from './job.js';
export {AnswerCheck} from './check.js';
export {computeStreamTimeouts} from './timeouts.js';
export type {StreamTimeouts} from './timeouts.js';
export {RequestIds} from './ids.js';
export type {RequestId, ResumePoint} from './ids.js';
export {
	hashRequest, parseChat, parseHeaders,
} from './request.js';
export type {CallHeaders, ChatRequest} from './request.js';
export {decideErrorAnswer, decideRequestOutcome} from './erroranswer.js';
export type {ErrorAnswer} from './erroranswer.js';
export {
	createProof, isProofValid, relayHeader, relayPath,
} from './relayauth.js';
export {
	createChunkWriter, createCompletion, createErrorBody, createModelList, lastEventIdHeader, streamEnd,
} from './wire.js';
export type {
	ChunkWriter, CompletionHead, ErrorBody, ErrorDetails, RunStatus, Usage,
} from './wire.js';
export {
	callOutcome, createFailedOutcome, sendOnce, sendRepeatable, serveOnce, serveRepeatable,
} from './call.js';
export type {
	CallDependencies, CallJob, CallOutcome, DoneOutcome, NotRunOutcome, UnknownOutcome,
} from './call.js';
export {serveKeyed} from './keyedcall.js';
export type {ClaimPort, KeyedCallDependencies, KeyedCallJob} from './keyedcall.js';
export type {WholeAnswer} from './wholeanswer.js';
export {isRepeatable, selectForwardedHeaders} from './callrules.js';

/** Serving: from a caller's request to the whole answer. */
export {serveStream} from './stream.js';
export type {AnswerSink, StreamParts} from './stream.js';
export {createChunk, createCompletion, createErrorBody} from './wire.js';
export type {ChatMessage, ChatRequest, ErrorBody} from './wire.js';

/** Connections between entries over TCP that carry frames of CBOR. */
export {FrameCodec} from './codec.js';
export {MessageLink, MessageNetwork, TcpMessageNetwork} from './messages.js';
export type {MessageHandlers} from './messages.js';
export {TcpPeerNetwork} from './tcp.js';

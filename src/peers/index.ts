/** Connections between entries over TCP, with CBOR frames. */
export {FrameCodec} from './codec.js';
export {MessageLink, MessageNetwork, TcpMessageNetwork} from './messages.js';
export type {MessageHandlers} from './messages.js';
export {TcpPeerNetwork as TcpNetwork} from './tcp.js';

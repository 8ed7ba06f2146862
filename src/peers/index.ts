/** The feed's connections over TCP, with CBOR frames. */
export {FrameCodec} from './codec.js';
export {TcpNetwork} from './tcp.js';

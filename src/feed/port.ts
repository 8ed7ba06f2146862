import type {PeerMessage} from './messages.js';

/** One connection to another entry. */
export abstract class PeerLink {
	/** Queues a message for sending. The queue is bounded; when it is full, the connection is closed. */
	abstract send(message: PeerMessage): void;
	/** Closes the connection; its `onClose` handler is called once. */
	abstract close(): void;
}

/** Handlers that a connection calls. */
export type LinkHandlers = {
	readonly onMessage: (message: PeerMessage) => void;
	/** Called once when the connection has closed, also when it could not be opened. */
	readonly onClose: () => void;
};

/** Port for connections between entries. */
export abstract class PeerNetwork {
	/** Opens a connection to `address` (`host:port`); messages sent before it is established are queued. */
	abstract open(address: string, handlers: LinkHandlers): PeerLink;
	/** Listens at `address` (`host:port`); `onLink` is called for each accepted connection and returns its handlers. */
	abstract serve(address: string, onLink: (link: PeerLink) => LinkHandlers): Promise<void>;
	/** Closes every connection and stops listening. */
	abstract close(): Promise<void>;
}

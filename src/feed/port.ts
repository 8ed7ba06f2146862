import type {PeerMessage} from './messages.js';

/** One connection to another entry. */
export abstract class PeerLink {
	/** Queues a message; a connection whose bounded queue is full is closed. */
	abstract send(message: PeerMessage): void;
	/** Closes the connection; `onClose` is called once. */
	abstract close(): void;
}

/** What a connection calls. */
export type LinkHandlers = {
	readonly onMessage: (message: PeerMessage) => void;
	/** Called once, also when the connection could not be opened. */
	readonly onClose: () => void;
};

/** Connections between entries. */
export abstract class PeerNetwork {
	/** Opens a connection to `address` (`host:port`); messages sent before it is open wait in its queue. */
	abstract open(address: string, handlers: LinkHandlers): PeerLink;
	/** Takes connections from others at `address`; `onLink` returns the handlers of each. */
	abstract serve(address: string, onLink: (link: PeerLink) => LinkHandlers): Promise<void>;
	/** Closes every connection and takes no more. */
	abstract close(): Promise<void>;
}

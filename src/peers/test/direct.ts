import {MessageLink, MessageNetwork} from '../messages.js';
import type {MessageHandlers} from '../messages.js';

/** One end of a connection in memory; a message arrives at the other end at once. */
class DirectLink extends MessageLink {
	handlers: MessageHandlers | undefined;
	other: DirectLink | undefined;
	readonly #network: DirectNetwork;
	#isClosed = false;

	constructor(network: DirectNetwork) {
		super();
		this.#network = network;
	}

	override send(items: readonly unknown[]): void {
		if (!this.#isClosed && !this.#network.isSilent) {
			this.other!.handlers?.onMessage(structuredClone(items));
		}
	}

	override close(): void {
		if (!this.#isClosed) {
			this.#isClosed = true;
			this.other!.#isClosed = true;
			this.#network.forget(this);
			this.#network.forget(this.other!);
			this.handlers?.onClose();
			this.other!.handlers?.onClose();
		}
	}
}

/** Connections in memory between entries of one test. */
export class DirectNetwork extends MessageNetwork {
	/** Whether messages are lost while connections stay open. */
	isSilent = false;
	/** Connections opened so far. */
	openCount = 0;
	readonly #servers = new Map<string, (link: MessageLink) => MessageHandlers>();
	readonly #links = new Set<DirectLink>();

	override open(address: string, handlers: MessageHandlers): MessageLink {
		const callerEnd = new DirectLink(this);
		const serverEnd = new DirectLink(this);
		this.openCount++;
		callerEnd.other = serverEnd;
		serverEnd.other = callerEnd;
		callerEnd.handlers = handlers;
		serverEnd.handlers = this.#servers.get(address)?.(serverEnd);
		this.#links.add(callerEnd);
		return callerEnd;
	}

	override async serve(address: string, onLink: (link: MessageLink) => MessageHandlers): Promise<void> {
		this.#servers.set(address, onLink);
	}

	/** Counts the connections that are open. */
	countOpen(): number {
		return this.#links.size;
	}

	/** Drops a connection that was closed. */
	forget(link: MessageLink): void {
		this.#links.delete(link as DirectLink);
	}

	override close(): void {
		for (const link of this.#links) {
			link.close();
		}

		this.#links.clear();
	}
}

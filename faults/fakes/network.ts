import {PeerLink, PeerNetwork} from '../../src/feed/index.js';
import type {LinkHandlers, PeerMessage} from '../../src/feed/index.js';
import {FrameCodec} from '../../src/peers/index.js';
import type {TimerService} from '../../src/timers/index.js';

const lengthBytes = 4;

/** What a test may do to the messages from one address to another. */
export const pathFault = {
	none: 'none',
	/** Nothing new is opened and nothing arrives, without an error. */
	cut: 'cut',
} as const;

/** See {@link pathFault}. */
export type PathFault = (typeof pathFault)[keyof typeof pathFault];

/** The wires between fake networks: delays, cuts of one or both directions, frozen processes, silent connections. */
export class FakeWires {
	/** Bytes sent by each address, as they would travel over TCP. */
	readonly sentBytes = new Map<string, number>();
	readonly receivedBytes = new Map<string, number>();
	readonly faults = new Map<string, PathFault>();
	readonly frozen = new Set<string>();
	readonly listeners = new Map<string, (link: PeerLink) => LinkHandlers>();
	readonly links = new Set<FakeLink>();
	/** Told of each message sent. */
	onSent: ((from: string, to: string, message: PeerMessage) => void) | undefined;
	/** Whether bytes are counted through the real codec; costs time. */
	isCounted = false;
	/** Delays of messages, in milliseconds, drawn in turn; a test sets them from its seed. */
	delays: readonly number[] = [1];
	#drawn = 0;

	constructor(readonly timers: TimerService) {}

	/** Draws the next delay of a message, in milliseconds. */
	computeDelay(): number {
		this.#drawn++;
		return this.delays[this.#drawn % this.delays.length]!;
	}

	/** Cuts the path from `from` to `to`; the other direction stays. */
	setFault(from: string, to: string, fault: PathFault): void {
		this.faults.set(`${from}>${to}`, fault);
	}

	/** Asks whether messages from `from` reach `to`. */
	isOpen(from: string, to: string): boolean {
		return (this.faults.get(`${from}>${to}`) ?? pathFault.none) === pathFault.none;
	}

	/** Makes every open connection of an address silent for good, while new ones work. */
	setSilent(address: string): void {
		for (const link of this.links) {
			if (link.from === address || link.to === address) {
				link.isSilent = true;
			}
		}
	}

	/** Lets a frozen process go on: what waited is delivered. */
	resume(address: string): void {
		this.frozen.delete(address);
		for (const link of this.links) {
			if (link.to === address) {
				link.sendWaiting();
			}
		}
	}
}

/** One direction of a fake connection. */
export class FakeLink extends PeerLink {
	isSilent = false;
	isClosed = false;
	handlers: LinkHandlers | undefined;
	other: FakeLink | undefined;
	readonly #codec = new FrameCodec();
	readonly #waiting: PeerMessage[] = [];
	#arrival = 0;

	constructor(readonly wires: FakeWires, readonly from: string, readonly to: string) {
		super();
		wires.links.add(this);
	}

	send(message: PeerMessage): void {
		if (this.isClosed) {
			return;
		}

		this.#countBytes(message);
		this.wires.onSent?.(this.from, this.to, message);
		if (this.isSilent || !this.wires.isOpen(this.from, this.to)) {
			return;
		}

		// TCP keeps the order of one connection, whatever the delays.
		const now = this.wires.timers.getNow();
		this.#arrival = Math.max(this.#arrival, now + this.wires.computeDelay());
		this.wires.timers.startTimer(this.#arrival - now, () => {
			this.#waiting.push(message);
			this.sendWaiting();
		});
	}

	/** Hands over what has arrived, unless the receiver is frozen. */
	sendWaiting(): void {
		while (this.#waiting.length > 0 && !this.wires.frozen.has(this.to) && this.other && !this.other.isClosed) {
			const message = this.#waiting.shift()!;
			this.other.handlers?.onMessage(message);
		}
	}

	close(): void {
		const {other} = this;
		this.#finish();
		// The other end learns of it, unless the path is cut or the connection is silent.
		if (other && !this.isSilent && this.wires.isOpen(this.from, this.to)) {
			this.wires.timers.startTimer(this.wires.computeDelay(), () => {
				other.#finish();
			});
		}
	}

	#finish(): void {
		if (!this.isClosed) {
			this.isClosed = true;
			this.wires.links.delete(this);
			this.handlers?.onClose();
		}
	}

	#countBytes(message: PeerMessage): void {
		if (this.wires.isCounted) {
			const size = this.#codec.encode(message).length + lengthBytes;
			this.wires.sentBytes.set(this.from, (this.wires.sentBytes.get(this.from) ?? 0) + size);
			this.wires.receivedBytes.set(this.to, (this.wires.receivedBytes.get(this.to) ?? 0) + size);
		}
	}
}

/** One process's side of {@link FakeWires}. */
export class FakeNetwork extends PeerNetwork {
	readonly #wires: FakeWires;
	readonly #address: string;

	constructor(wires: FakeWires, address: string) {
		super();
		this.#wires = wires;
		this.#address = address;
	}

	open(address: string, handlers: LinkHandlers): PeerLink {
		const link = new FakeLink(this.#wires, this.#address, address);
		link.handlers = handlers;
		this.#wires.timers.startTimer(0, () => {
			this.#connect(link, address);
		});
		return link;
	}

	async serve(address: string, onLink: (link: PeerLink) => LinkHandlers): Promise<void> {
		this.#wires.listeners.set(address, onLink);
	}

	async close(): Promise<void> {
		this.abort();
	}

	/** Ends the process's side at once, as a kill does: connections of a killed process are reset. */
	abort(): void {
		this.#wires.listeners.delete(this.#address);
		for (const link of this.#wires.links) {
			if (link.from === this.#address) {
				link.close();
			}
		}
	}

	#connect(link: FakeLink, address: string): void {
		const isReached = this.#wires.isOpen(this.#address, address) && this.#wires.isOpen(address, this.#address);
		const onLink = this.#wires.listeners.get(address);
		if (!isReached) {
			// A connection that is never answered; the silence bound ends it.
			return;
		}

		if (!onLink) {
			link.close();
			return;
		}

		const back = new FakeLink(this.#wires, address, this.#address);
		back.other = link;
		link.other = back;
		back.handlers = onLink(back);
		link.sendWaiting();
	}
}

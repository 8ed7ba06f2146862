import {createServer, connect} from 'node:net';
import {performance} from 'node:perf_hooks';
import type {AddressInfo, Socket} from 'node:net';

/** What a link does to the connections through it. */
export const linkState = {
	open: 'open',
	/** Cut both ways: connections are closed and none is taken. */
	cut: 'cut',
	/** Everything is taken and nothing arrives, either way, on old and new connections. */
	silent: 'silent',
	/** Nothing arrives at the target; what it sends arrives. */
	silentOut: 'silent to the target',
	/** What is sent arrives at the target; nothing comes back. */
	silentBack: 'silent from the target',
} as const;

/** See {@link linkState}. */
export type LinkState = (typeof linkState)[keyof typeof linkState];

type Pair = {readonly near: Socket; readonly far: Socket; isLost: boolean};

/**
A TCP link to one process, which a test cuts or makes silent.

@example
```
const link = new Link('127.0.0.1:7101');
await link.start();
link.state = linkState.silent;
```
*/
export class Link {
	/** Where it listens, `host:port`. */
	address = '';
	/** Delay of what is sent from now on, each way, in milliseconds; bytes keep their order. */
	delayMs = 0;
	readonly #pairs = new Set<Pair>();
	readonly #target: string;
	readonly #localAddress: string | undefined;
	readonly #server = createServer(near => {
		this.#onConnection(near);
	});

	#state: LinkState = linkState.open;

	/** Takes the target's address, `host:port`, and the address that the target shall see as its caller's. */
	constructor(target: string, localAddress?: string) {
		this.#target = target;
		this.#localAddress = localAddress;
	}

	get state(): LinkState {
		return this.#state;
	}

	set state(state: LinkState) {
		this.#state = state;
		if (state === linkState.cut) {
			this.#abortPairs();
		}
	}

	/** Resets every connection that is open now; new ones work. */
	reset(): void {
		for (const {near, far} of this.#pairs) {
			near.resetAndDestroy();
			far.destroy();
		}
	}

	/** Listens on a free port of loopback. */
	async start(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
		const {address, port} = this.#server.address() as AddressInfo;
		this.address = `${address}:${port}`;
	}

	/** Makes every connection that is open now silent for good; new ones work. */
	forgetOpen(): void {
		for (const pair of this.#pairs) {
			pair.isLost = true;
		}
	}

	/** Counts the open connections. */
	countOpen(): number {
		return this.#pairs.size;
	}

	/** Closes everything. */
	async close(): Promise<void> {
		this.#abortPairs();
		await new Promise(resolve => {
			this.#server.close(resolve);
		});
	}

	#abortPairs(): void {
		for (const {near, far} of this.#pairs) {
			near.destroy();
			far.destroy();
		}
	}

	#onConnection(near: Socket): void {
		if (this.#state === linkState.cut) {
			near.destroy();
			return;
		}

		const [host, port] = this.#target.split(':');
		const far = connect({host, port: Number(port), localAddress: this.#localAddress});
		const pair: Pair = {near, far, isLost: false};
		this.#pairs.add(pair);
		const {silent, silentOut, silentBack} = linkState;
		this.#connectWay(near, far, () => pair.isLost || this.#state === silent || this.#state === silentOut);
		this.#connectWay(far, near, () => pair.isLost || this.#state === silent || this.#state === silentBack);
		near.on('close', () => {
			this.#pairs.delete(pair);
		});
	}

	#connectWay(from: Socket, to: Socket, isLost: () => boolean): void {
		from.setNoDelay(true);
		let lastDueAt = 0;
		const waiting: Uint8Array[] = [];
		const writeOn = (data: Uint8Array) => {
			if (!isLost() && !to.destroyed && !to.write(data)) {
				from.pause();
				to.once('drain', () => {
					from.resume();
				});
			}
		};

		from.on('data', data => {
			const now = performance.now();
			lastDueAt = Math.max(lastDueAt, now + this.delayMs);
			if (lastDueAt > now || waiting.length > 0) {
				// Timers of different delays may pass one another: each writes the oldest.
				waiting.push(data);
				setTimeout(() => {
					writeOn(waiting.shift()!);
				}, lastDueAt - now);
			} else {
				writeOn(data);
			}
		});
		// A reset arrives as one: without a length, an answer's clean end would make it look whole.
		let isReset = false;
		// An end that is lost on the way leaves the other side waiting, as bytes do.
		from.on('close', () => {
			if (!isLost()) {
				setTimeout(() => {
					if (isReset) {
						to.resetAndDestroy();
					} else {
						to.destroy();
					}
				}, Math.max(0, lastDueAt - performance.now()));
			}
		});
		from.on('error', error => {
			isReset = (error as NodeJS.ErrnoException).code === 'ECONNRESET';
			from.destroy();
		});
	}
}

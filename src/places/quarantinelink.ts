import type {BlockQuarantine, Quarantine} from '../quarantine/index.js';
import type {TimerService} from '../timers/index.js';
import {allocatorMessageKind} from './messages.js';
import type {AllocatorMessage} from './messages.js';

/**
Keeps the quarantines of two entries alike over a connection between them: sends those known here at its start and each change from then on.
What the other end has told is sent back once, and is no news there. One quarantine goes into one message, which bounds its size.
*/
export class QuarantineLink {
	readonly #timers: TimerService;
	readonly #quarantine: BlockQuarantine;
	readonly #send: (message: AllocatorMessage) => void;
	#unsubscribe: (() => void) | undefined;

	constructor(timers: TimerService, quarantine: BlockQuarantine, send: (message: AllocatorMessage) => void) {
		this.#timers = timers;
		this.#quarantine = quarantine;
		this.#send = send;
	}

	start(): void {
		this.#unsubscribe = this.#quarantine.subscribe(change => {
			this.#sendQuarantine(change);
		});
		for (const known of this.#quarantine.list(this.#timers.getNow())) {
			this.#sendQuarantine(known);
		}
	}

	/** Takes over what the other end knows. */
	onMessage(quarantines: readonly Quarantine[]): void {
		for (const correction of this.#quarantine.merge(quarantines, this.#timers.getNow())) {
			this.#sendQuarantine(correction);
		}
	}

	close(): void {
		this.#unsubscribe?.();
	}

	#sendQuarantine({blocks, remainingMs, count}: Quarantine): void {
		this.#send({kind: allocatorMessageKind.quarantine, id: 0, quarantines: [{blocks, remainingMs, count}]});
	}
}

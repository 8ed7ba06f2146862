import type {MessageLink} from '../peers/index.js';
import type {BlockQuarantine, Quarantine} from '../quarantine/index.js';
import type {TimerService} from '../timers/index.js';
import {allocatorMessageKind, toItems} from './messages.js';

/**
Keeps the quarantines of two entries alike over a connection between them: sends those known here at the start and each change from then
on, but for what the other end has told. One quarantine goes into one message, which bounds its size.
*/
export class QuarantineLink {
	readonly #timers: TimerService;
	readonly #quarantine: BlockQuarantine;
	readonly #link: MessageLink;
	readonly #unsubscribe: () => void;
	#isReceiving = false;

	constructor(timers: TimerService, quarantine: BlockQuarantine, link: MessageLink) {
		this.#timers = timers;
		this.#quarantine = quarantine;
		this.#link = link;
		this.#unsubscribe = quarantine.subscribe(change => {
			if (!this.#isReceiving) {
				this.#send(change);
			}
		});
		for (const known of quarantine.list(timers.getNow())) {
			this.#send(known);
		}
	}

	/** Takes over what the other end knows. */
	onMessage(quarantines: readonly Quarantine[]): void {
		this.#isReceiving = true;
		try {
			this.#quarantine.merge(quarantines, this.#timers.getNow());
		} finally {
			this.#isReceiving = false;
		}
	}

	close(): void {
		this.#unsubscribe();
	}

	#send(quarantine: Quarantine): void {
		this.#link.send(toItems({kind: allocatorMessageKind.quarantine, id: 0, quarantines: [quarantine]}));
	}
}

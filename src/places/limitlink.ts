import type {RequestLimit, RequestLimits} from '../requestlimits/index.js';
import type {TimerService} from '../timers/index.js';
import {allocatorMessageKind} from './messages.js';
import type {AllocatorMessage} from './messages.js';

/** Maximum number of limits in one message. */
const maxLimitsPerMessage = 64;

/** What a `LimitLink` is built from. */
export type LimitLinkDependencies = {
	readonly timers: TimerService;
	readonly limits: RequestLimits;
	/** VM of this process, by which the other end tells its clients apart. */
	readonly localVm: string;
	readonly send: (message: AllocatorMessage) => void;
};

/**
Keeps the engines' limits that two entries know alike over a connection between them: sends those known here at its start, and each change from
then on. Nothing is sent before a limit is known, so that entries of a build without these messages can be talked to as long as none is.
*/
export class LimitLink {
	readonly #dependencies: LimitLinkDependencies;
	#unsubscribe: (() => void) | undefined;
	#hasSent = false;

	constructor(dependencies: LimitLinkDependencies) {
		this.#dependencies = dependencies;
	}

	start(): void {
		const {timers, limits} = this.#dependencies;
		this.#unsubscribe = limits.subscribe(change => {
			this.#sendLimits([change]);
		});
		const known = limits.list(timers.getNow());
		for (let index = 0; index < known.length; index += maxLimitsPerMessage) {
			this.#sendLimits(known.slice(index, index + maxLimitsPerMessage));
		}
	}

	/** Takes over what the other end knows. */
	onMessage(received: readonly RequestLimit[]): void {
		const {timers, limits} = this.#dependencies;
		const corrections = limits.merge(received, timers.getNow());
		if (corrections.length > 0 || !this.#hasSent) {
			// An empty list still tells the other end who this is.
			this.#sendLimits(corrections);
		}
	}

	close(): void {
		this.#unsubscribe?.();
	}

	#sendLimits(limits: readonly RequestLimit[]): void {
		this.#hasSent = true;
		this.#dependencies.send({
			kind: allocatorMessageKind.limits, id: 0, sender: this.#dependencies.localVm, limits,
		});
	}
}

import type {Timer, TimerService} from '../timers/index.js';
import type {ContactSpan, StoreContact, StoreOutage} from './contact.js';

/** Time after an outage of the store in which owners of registrations that expired during it write them again, in milliseconds. */
const reregistrationMs = 2000;
/** Age of the latest known answer of the store above which it may be away again, in milliseconds: a pause and a watch without changes are shorter. */
const maxQuietMs = 3000;
/** Interval at which its answers are looked for after that, in milliseconds. */
const quietCheckMs = 200;

/**
The time in which a registration that is missing from the store may be that of a live owner: after an outage of the store, in which registrations expire, or
after its return from an older copy. A loss of this process's own path to the store is neither: what is missing after that is gone.
*/
export class RegistrationGrace {
	readonly #timers: TimerService;
	readonly #contact: StoreContact;
	readonly #onOutage: (outage: StoreOutage) => void;
	readonly #listeners = new Set<() => void>();
	#replacedUntil = Number.NEGATIVE_INFINITY;
	#timer: Timer | undefined;

	/** `onOutage` is called when the store turns out to have been silent, before other entries were asked. */
	constructor(timers: TimerService, contact: StoreContact, onOutage: (outage: StoreOutage) => void) {
		this.#timers = timers;
		this.#contact = contact;
		this.#onOutage = onOutage;
	}

	/** Monotonic time at which it ends or has ended, in milliseconds. */
	get endsAt(): number {
		const {outage} = this.#contact;
		return Math.max(this.#replacedUntil, outage ? outage.endedAt + reregistrationMs : Number.NEGATIVE_INFINITY);
	}

	get isActive(): boolean {
		return this.#timers.getNow() < this.endsAt;
	}

	/** Calls `listener` each time when it ends, also early, as an outage turns out to have been none. */
	subscribe(listener: () => void): void {
		this.#listeners.add(listener);
	}

	/** Records that a call of this process was answered by the store. */
	onOwnAnswer(): void {
		const latestEnd = this.#contact.outage?.endedAt ?? Number.NEGATIVE_INFINITY;
		this.#contact.onOwnAnswer(this.#timers.getNow());
		this.#update();
		const {outage} = this.#contact;
		if (outage && outage.endedAt > latestEnd) {
			this.#onOutage(outage);
		}
	}

	/** Records that the store answered another entry in a time. */
	onAnswers(span: ContactSpan): void {
		this.#contact.onAnswers(span);
		this.#update();
	}

	/** Records that the store has come back from an older copy; its owners are told of it for up to `spreadMs`. */
	onStoreReplaced(spreadMs: number): void {
		this.#replacedUntil = this.#timers.getNow() + spreadMs + reregistrationMs;
		this.#update();
	}

	/** Cancels the timer. */
	stop(): void {
		this.#timer?.cancel();
	}

	/** Starts the timer anew, or tells of the end. It does not end while the store is away again: its owners can't have written since. */
	#update(): void {
		const now = this.#timers.getNow();
		const wasActive = this.#timer !== undefined;
		const isQuiet = wasActive && now - (this.#contact.span?.until ?? now) > maxQuietMs;
		const leftMs = Math.max(this.endsAt - now, isQuiet ? quietCheckMs : 0);
		this.#timer?.cancel();
		this.#timer = undefined;
		if (leftMs > 0) {
			this.#timer = this.#timers.startTimer(leftMs, () => {
				this.#update();
			});
		} else if (wasActive) {
			for (const listener of this.#listeners) {
				listener();
			}
		}
	}
}

import type {MessageLink, MessageNetwork} from '../peers/index.js';
import {measureElapsedMs, readClocks} from '../timers/index.js';
import type {ClockReading, Timer, TimerService} from '../timers/index.js';
import {WindowCounts} from './counts.js';
import {
	isUsageMessage, maxRows, parseUsageItems, toUsageItems,
} from './messages.js';
import type {TrueTimeClock} from './truetime.js';

export type UsageSenderDependencies = {
	readonly timers: TimerService;
	readonly network: MessageNetwork;
	readonly clock: TrueTimeClock;
	readonly counts: WindowCounts;
	/** Name of this VM. */
	readonly vm: string;
	/** Start of this process, in milliseconds. */
	readonly incarnation: number;
	/** Lists the addresses of the entries that collect the counts, without this one. */
	readonly listTargets: () => readonly string[];
};

/** A connection to an entry that collects the counts. */
type Target = {
	readonly link: MessageLink;
	/** What was sent over this connection. */
	readonly sent: WindowCounts;
	/** Messages that were not answered, by their numbers, with the time of their sending. */
	readonly unanswered: Map<number, ClockReading>;
	sentAt: number;
	nextSequence: number;
};

/** Interval at which counts are sent, in milliseconds: a killed entry loses the counts of this time. */
const sendIntervalMs = 1000;
/** Interval at which a message is sent without counts, in milliseconds: it carries the clock's reading. */
const idleIntervalMs = 5000;
/** Time without an answer after which the connection is opened anew, in milliseconds; open connections may have fallen silent for good. */
const answerTimeoutMs = 2500;
/** Longest time to an answer whose time is taken over, in milliseconds. */
const maxRoundTripMs = 200;

/** Sends this entry's counts to those that collect them, once a second and only what has changed. */
export class UsageSender {
	readonly #dependencies: UsageSenderDependencies;
	readonly #targets = new Map<string, Target>();
	#timer: Timer | undefined;

	constructor(dependencies: UsageSenderDependencies) {
		this.#dependencies = dependencies;
	}

	/** Starts to send. */
	start(): void {
		this.#timer ??= this.#dependencies.timers.startInterval(sendIntervalMs, () => {
			this.sendAll();
		});
	}

	/** Closes all connections and sends no more. */
	stop(): void {
		this.#timer?.cancel();
		for (const {link} of this.#targets.values()) {
			link.close();
		}

		this.#targets.clear();
	}

	/** Sends what has changed to each target. */
	sendAll(): void {
		const addresses = new Set(this.#dependencies.listTargets());
		for (const [address, {link}] of this.#targets) {
			if (!addresses.has(address)) {
				this.#targets.delete(address);
				link.close();
			}
		}

		for (const address of addresses) {
			this.#send(address);
		}
	}

	#send(address: string): void {
		const {timers, counts} = this.#dependencies;
		const known = this.#targets.get(address);
		const [oldest] = known?.unanswered.values() ?? [];
		if (known && oldest && measureElapsedMs(timers, oldest) > answerTimeoutMs) {
			this.#targets.delete(address);
			known.link.close();
		}

		const target = this.#targets.get(address) ?? this.#open(address);
		const rows = counts.listChanges(target.sent);
		if (rows.length === 0 && timers.getNow() - target.sentAt < idleIntervalMs) {
			return;
		}

		for (let index = 0; index === 0 || index < rows.length; index += maxRows) {
			this.#sendRows(target, rows.slice(index, index + maxRows));
		}
	}

	#sendRows(target: Target, rows: ReturnType<WindowCounts['listChanges']>): void {
		const {timers, clock, vm, incarnation} = this.#dependencies;
		const sequence = target.nextSequence++;
		target.sentAt = timers.getNow();
		target.unanswered.set(sequence, readClocks(timers));
		for (const [window, customer, count] of rows) {
			target.sent.set(window, customer, count);
		}

		target.link.send(toUsageItems({
			kind: 'counts', vm, incarnation, sequence, ownTimeMs: clock.getOwnTimeMs(), rows,
		}));
	}

	#open(address: string): Target {
		const {network} = this.#dependencies;
		const unanswered = new Map<number, ClockReading>();
		const link = network.open(address, {
			onMessage: items => {
				// The other end's slot allocator tells each connection what it knows.
				const message = isUsageMessage(items) ? parseUsageItems(items) : undefined;
				if (message?.kind === 'received') {
					this.#onReceived(unanswered, message.sequence, message.timeMs);
				}
			},
			onClose: () => {
				if (this.#targets.get(address)?.unanswered === unanswered) {
					this.#targets.delete(address);
				}
			},
		});
		const target = {
			link, sent: new WindowCounts(), unanswered, sentAt: Number.NEGATIVE_INFINITY, nextSequence: 1,
		};
		this.#targets.set(address, target);
		return target;
	}

	#onReceived(unanswered: Map<number, ClockReading>, sequence: number, timeMs: number | undefined): void {
		const {timers, clock} = this.#dependencies;
		const sentAt = unanswered.get(sequence);
		unanswered.delete(sequence);
		const roundTripMs = sentAt ? measureElapsedMs(timers, sentAt) : Number.POSITIVE_INFINITY;
		if (timeMs !== undefined && roundTripMs <= maxRoundTripMs) {
			clock.applyMedian(timeMs + (roundTripMs / 2));
		}
	}
}

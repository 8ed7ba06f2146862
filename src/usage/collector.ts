import type {MessageHandlers, MessageLink} from '../peers/index.js';
import type {CountRow} from './counts.js';
import {maxCustomers, WindowCounts} from './counts.js';
import {parseUsageItems, toUsageItems} from './messages.js';
import type {TrueTimeClock} from './truetime.js';

/** Maximum number of processes whose counts are kept; a deployment has up to a hundred entries, which may restart. */
const maxSenders = 512;

/** Collects the counts of all entries, of up to 512 processes that send once a second; the holder of the duty, and the entry that may succeed it, are sent them. */
export class UsageCollector {
	readonly #clock: TrueTimeClock;
	/** Counts of each process, by its VM and its start; the one that sent last comes last. */
	readonly #senders = new Map<string, WindowCounts>();

	constructor(clock: TrueTimeClock) {
		this.#clock = clock;
	}

	/** Number of processes whose counts are kept. */
	get senderCount(): number {
		return this.#senders.size;
	}

	/** Number of requests that were not counted, as there were too many customers. */
	get droppedCount(): number {
		return [...this.#senders.values()].reduce((sum, {droppedCount}) => sum + droppedCount, 0);
	}

	/** Serves the connection of an entry that sends its counts. Its messages have to be those of usage counts. */
	serve(link: MessageLink): Pick<MessageHandlers, 'onMessage'> {
		return {
			onMessage: items => {
				const message = parseUsageItems(items);
				if (message?.kind === 'counts') {
					const {vm, incarnation, ownTimeMs, sequence, rows} = message;
					this.#clock.onReading(vm, ownTimeMs);
					this.add(`${vm}/${incarnation}`, rows);
					link.send(toUsageItems({kind: 'received', sequence, timeMs: this.#clock.computeMedianMs()}));
				}
			},
		};
	}

	/** Adds complete counts of a process. A count never falls: rows of an earlier message change nothing. */
	add(sender: string, rows: readonly CountRow[]): void {
		const counts = this.#senders.get(sender) ?? new WindowCounts();
		this.#senders.delete(sender);
		this.#senders.set(sender, counts);
		if (this.#senders.size > maxSenders) {
			this.#senders.delete([...this.#senders.keys()][0]!);
		}

		for (const [window, customer, count] of rows) {
			if (count > counts.get(window, customer)) {
				counts.set(window, customer, count);
			}
		}
	}

	/** Sums up the requests of a window over all processes, by customer. */
	sum(window: number): Map<string, number> {
		const sums = new Map<string, number>();
		for (const counts of this.#senders.values()) {
			for (const [customer, count] of counts.getCounts(window)) {
				if (sums.size < maxCustomers || sums.has(customer)) {
					sums.set(customer, (sums.get(customer) ?? 0) + count);
				}
			}
		}

		return sums;
	}
}

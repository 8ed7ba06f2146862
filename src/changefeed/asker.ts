import type {MessageNetwork} from '../peers/index.js';
import type {TimerService} from '../timers/index.js';
import type {ContactSpan} from './contact.js';
import {
	feedMessageKind, isFeedMessage, parseFeedItems, toFeedItems,
} from './messages.js';

/** Time after which an entry that was asked is no longer awaited, in milliseconds. */
const answerTimeoutMs = 1000;

export type ContactAskerDependencies = {
	readonly timers: TimerService;
	readonly network: MessageNetwork;
	/** Called with each answer; the times are monotonic ones of this process. */
	readonly onContact: (address: string, span: ContactSpan) => void;
};

/** Asks other entries when the store answered them. */
export class ContactAsker {
	readonly #dependencies: ContactAskerDependencies;

	constructor(dependencies: ContactAskerDependencies) {
		this.#dependencies = dependencies;
	}

	/** Asks the entries at `addresses`, each over a connection of its own. Answers that don't come in time are not awaited. */
	ask(addresses: readonly string[]): void {
		for (const address of addresses) {
			this.#askOne(address);
		}
	}

	#askOne(address: string): void {
		const {timers, network, onContact} = this.#dependencies;
		const timer = timers.startTimer(answerTimeoutMs, () => {
			link.close();
		});
		const link = network.open(address, {
			onMessage(items) {
				// The other end's slot allocator tells each connection what it knows.
				if (!isFeedMessage(items)) {
					return;
				}

				const message = parseFeedItems(items);
				if (message.kind === feedMessageKind.contact) {
					const until = timers.getNow() - message.ageMs;
					onContact(address, {since: until - message.answeringMs, until});
				}

				link.close();
			},
			onClose() {
				timer.cancel();
			},
		});
		link.send(toFeedItems({kind: feedMessageKind.ask}));
	}
}

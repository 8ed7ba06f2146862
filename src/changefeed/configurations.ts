import type {MessageNetwork} from '../peers/index.js';
import type {TimerService} from '../timers/index.js';
import {
	feedMessageKind, isFeedMessage, noVersion, parseFeedItems, toFeedItems,
} from './messages.js';
import type {FeedMessage} from './messages.js';

/** Maximum length of a configuration's text that is passed on, in characters; as for other changes. */
export const maxConfigurationLength = 40_000;
/** Time after which entries that were asked are no longer awaited, in milliseconds: a process that starts serves no key until then. */
const answerTimeoutMs = 300;

/** The configuration in force at an entry; `text` is empty when it is longer than {@link maxConfigurationLength}. */
export type HeldConfiguration = {readonly version: number; readonly text: string};

/**
Asks other entries for a later configuration than the one at hand: a store that came back from an older copy may have an older one than they have in force.
*/
export class ConfigurationAsker {
	readonly #timers: TimerService;
	readonly #network: MessageNetwork;

	constructor(timers: TimerService, network: MessageNetwork) {
		this.#timers = timers;
		this.#network = network;
	}

	/**
	Asks the entries at `addresses`, each over a connection of its own, and returns the latest configuration that is later than `version`; its text is empty when it is
	too large for a message. Waits until all have answered or can't be reached, at most 300 ms.
	*/
	async fetchLater(addresses: readonly string[], version: number | undefined): Promise<HeldConfiguration | undefined> {
		const answers = await Promise.all(addresses.map(async address => this.#ask(address, version ?? noVersion)));
		let latest: HeldConfiguration | undefined;
		for (const answer of answers) {
			if (answer && answer.version > (latest?.version ?? version ?? noVersion)) {
				latest = answer;
			}
		}

		return latest;
	}

	async #ask(address: string, version: number): Promise<HeldConfiguration | undefined> {
		return new Promise(resolve => {
			const timer = this.#timers.startTimeout(answerTimeoutMs, () => {
				link.close();
				resolve(undefined);
			});
			const link = this.#network.open(address, {
				onMessage(items) {
					// The other end's slot allocator tells each connection what it knows.
					const message = isFeedMessage(items) ? parseFeedItems(items) : undefined;
					if (message?.kind === feedMessageKind.configuration) {
						resolve(message);
						link.close();
					}
				},
				onClose() {
					timer.cancel();
					resolve(undefined);
				},
			});
			link.send(toFeedItems({kind: feedMessageKind.askConfiguration, version}));
		});
	}
}

/** Creates the answer to an entry that asks for a later configuration than `version`. */
export function createConfigurationAnswer(held: HeldConfiguration | undefined, version: number): FeedMessage {
	return {kind: feedMessageKind.configuration, version: held?.version ?? noVersion, text: held && held.version > version ? held.text : ''};
}

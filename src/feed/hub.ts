import type {Metrics} from '../metrics/index.js';
import type {Timer, TimerService} from '../timers/index.js';
import {beatPeriodMs, Feed} from './feed.js';
import type {LinkHandlers, PeerLink, PeerNetwork} from './port.js';
import type {FactTable} from './table.js';
import {listTargets} from './targets.js';
import type {Neighbor} from './targets.js';

/** Period of the urgent flush, in milliseconds. */
const flushPeriodMs = 100;
/** Every so many urgent flushes everything goes out. */
const flushesPerCollection = 5;
const firstPauseMs = 1000;
const longestPauseMs = 15_000;
/** How long a connection that is no longer a target stays open, in milliseconds. */
const surplusMs = 10_000;
const maxLinks = 128;

/** What a hub needs. */
export type HubOptions = {
	readonly vm: string;
	readonly domain: string;
	/** `host:port` that other entries connect to. */
	readonly peer: string;
	/** Addresses to try while nobody is known. */
	readonly seeds: readonly string[];
	readonly facts: FactTable;
	readonly network: PeerNetwork;
	readonly timers: TimerService;
	readonly metrics: Metrics;
	readonly listNeighbors: () => readonly Neighbor[];
	readonly isText: (text: string, hash: string) => boolean;
	/** Mechanisms that the fault matrix takes out. */
	readonly without?: ReadonlySet<HubMechanism>;
};

/** Mechanisms that a hub can be run without, to see a check fail. */
export type HubMechanism = 'heartbeat on links' | 'anti-entropy';

type Open = {readonly link: PeerLink; readonly target?: string; surplusSince?: number};
type Backoff = {readonly until: number; readonly pauseMs: number};

/** Keeps an entry's few connections to others open and runs the {@link Feed} over them. */
export class FeedHub {
	readonly feed: Feed;
	readonly #options: HubOptions;
	readonly #open = new Map<string, Open>();
	readonly #backoffs = new Map<string, Backoff>();
	#timer: Timer | undefined;
	#flushes = 0;
	#links = 0;
	#keptAt = Number.NEGATIVE_INFINITY;

	constructor(options: HubOptions) {
		this.#options = options;
		this.feed = new Feed({
			vm: options.vm,
			domain: options.domain,
			facts: options.facts,
			sequence: Math.floor(options.timers.getWall() / beatPeriodMs),
			send: (link, message) => {
				this.#open.get(link)?.link.send(message);
			},
			close: link => {
				this.#closeLink(link);
			},
			isText: options.isText,
			onCount(what) {
				options.metrics.count('dropped', what);
			},
			hasAntiEntropy: !options.without?.has('anti-entropy'),
		});
	}

	/** Listens, opens the first connections and keeps both going until stopped. */
	async start(): Promise<void> {
		await this.#options.network.serve(this.#options.peer, link => this.#addLink(link));
		this.#timer = this.#options.timers.startInterval(flushPeriodMs, () => {
			this.#onFlush();
		});
		this.#onFlush();
	}

	/** Sends what waits and closes every connection. */
	async stop(): Promise<void> {
		this.#timer?.cancel();
		this.feed.sendFacts(false);
		await this.#options.network.close();
	}

	#onFlush(): void {
		const now = this.#options.timers.getNow();
		this.feed.sendBeats(now);
		this.feed.sendFacts(this.#flushes % flushesPerCollection !== 0);
		this.#flushes++;
		if (now - this.#keptAt >= beatPeriodMs / 2) {
			this.#keptAt = now;
			this.#closeSilent(now);
			this.#openTargets(now);
		}
	}

	#closeSilent(now: number): void {
		if (this.#options.without?.has('heartbeat on links')) {
			return;
		}

		for (const link of this.feed.listSilent(now)) {
			this.#options.metrics.count('dropped', 'silent_link');
			this.#closeLink(link);
		}
	}

	#openTargets(now: number): void {
		const targets = this.#listTargets(now);
		const linked = new Set(this.feed.listVms());
		const dialed = new Set([...this.#open.values()].map(open => open.target));
		for (const {vm, peer} of targets) {
			if (!linked.has(vm) && !dialed.has(vm)) {
				this.#openLink(vm, peer);
			}
		}

		this.#closeSurplus(new Set(targets.map(target => target.vm)), now);
	}

	#listTargets(now: number): Array<{readonly vm: string; readonly peer: string}> {
		const isUsable = (vm: string) => (this.#backoffs.get(vm)?.until ?? now) <= now;
		const targets = listTargets(this.#options, this.#options.listNeighbors(), isUsable);
		if (targets.length > 0 || this.#open.size > 0) {
			return targets;
		}

		return this.#options.seeds
			.filter(seed => seed !== this.#options.peer && isUsable(seed))
			.map(seed => ({vm: seed, peer: seed}));
	}

	#closeSurplus(wanted: ReadonlySet<string>, now: number): void {
		for (const [id, open] of this.#open) {
			if (open.target === undefined || wanted.has(open.target)) {
				open.surplusSince = undefined;
				continue;
			}

			open.surplusSince ??= now;
			if (now - open.surplusSince > surplusMs) {
				this.#closeLink(id);
			}
		}
	}

	#openLink(vm: string, peer: string): void {
		const late: {handlers?: LinkHandlers} = {};
		const link = this.#options.network.open(peer, {
			onMessage(message) {
				late.handlers?.onMessage(message);
			},
			onClose() {
				late.handlers?.onClose();
			},
		});
		late.handlers = this.#addLink(link, vm);
	}

	#addLink(link: PeerLink, target?: string): LinkHandlers {
		const id = `${target ?? 'in'}#${this.#links++}`;
		if (this.#open.size >= maxLinks) {
			this.#options.metrics.count('dropped', 'too_many_links');
			link.close();
			return {onMessage() {/* Closed at once. */}, onClose() {/* Never counted in. */}};
		}

		this.#open.set(id, {link, target});
		this.feed.addLink(id, this.#options.timers.getNow());
		return {
			onMessage: message => {
				if (target !== undefined) {
					this.#backoffs.delete(target);
				}

				this.feed.onMessage(id, message, this.#options.timers.getNow());
			},
			onClose: () => {
				this.#removeLink(id, target);
			},
		};
	}

	#closeLink(id: string): void {
		const open = this.#open.get(id);
		this.#removeLink(id, open?.target);
		open?.link.close();
	}

	#removeLink(id: string, target: string | undefined): void {
		if (!this.#open.delete(id)) {
			return;
		}

		const now = this.#options.timers.getNow();
		this.feed.removeLink(id, now);
		if (target !== undefined) {
			const pauseMs = Math.min(longestPauseMs, (this.#backoffs.get(target)?.pauseMs ?? firstPauseMs / 2) * 2);
			this.#backoffs.set(target, {until: now + pauseMs, pauseMs});
			this.#forgetBackoffs(now);
		}
	}

	#forgetBackoffs(now: number): void {
		for (const [vm, backoff] of this.#backoffs) {
			if (now - backoff.until > longestPauseMs) {
				this.#backoffs.delete(vm);
			}
		}
	}
}

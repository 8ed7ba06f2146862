import type {Metrics} from '../metrics/index.js';
import type {Timer, TimerService} from '../timers/index.js';
import {Gossip, heartbeatIntervalMs} from './gossip.js';
import type {LinkHandlers, PeerLink, PeerNetwork} from './port.js';
import type {FactTable} from './table.js';
import {listTargets} from './targets.js';
import type {Neighbor} from './targets.js';

/** Interval between flushes of urgent facts, in milliseconds. */
const flushIntervalMs = 100;
/** One in this many flushes sends all pending facts, urgent or not. */
const flushesPerFullFlush = 5;
/** Delay before a target is connected to again, in milliseconds; doubles with each close until the target sends a message. */
const initialBackoffMs = 1000;
/** Maximum delay before a target is connected to again, in milliseconds. */
const maxBackoffMs = 15_000;
/** How long a connection stays open when its other end is no longer a target, in milliseconds. */
const surplusTimeoutMs = 10_000;
/** Maximum number of open connections, accepted ones included. */
const maxLinks = 128;

/** Options of {@link GossipHub}. */
export type HubOptions = {
	readonly vm: string;
	readonly domain: string;
	/** `host:port` at which this entry listens for other entries. */
	readonly peer: string;
	/** Addresses (`host:port`) to connect to while there is neither a target nor a connection. */
	readonly seeds: readonly string[];
	readonly facts: FactTable;
	readonly network: PeerNetwork;
	readonly timers: TimerService;
	readonly metrics: Metrics;
	readonly listNeighbors: () => readonly Neighbor[];
	/** Tells whether `hash` is the hash of a configuration's `text`. */
	readonly isHashValid: (text: string, hash: string) => boolean;
	/** Mechanisms that the fault matrix switches off. */
	readonly disabledMechanisms?: ReadonlySet<HubMechanism>;
};

/** Mechanisms that can be switched off, to show that the fault matrix detects when one is missing. */
export type HubMechanism = 'heartbeat on links' | 'anti-entropy';

/** `target` is the VM, or the seed address, that the connection was opened to; it is absent on an accepted connection. */
type Connection = {readonly link: PeerLink; readonly target?: string; surplusSince?: number};
type Backoff = {readonly retryAt: number; readonly delayMs: number};

/** Opens and maintains an entry's connections to other entries and runs {@link Gossip} over them. */
export class GossipHub {
	readonly gossip: Gossip;
	readonly #options: HubOptions;
	readonly #connections = new Map<string, Connection>();
	/** Targets that are not connected to before `retryAt`. */
	readonly #backoffs = new Map<string, Backoff>();
	#timer: Timer | undefined;
	#flushCount = 0;
	#linkCount = 0;
	#lastMaintainedAt = Number.NEGATIVE_INFINITY;

	constructor(options: HubOptions) {
		this.#options = options;
		this.gossip = new Gossip({
			vm: options.vm,
			domain: options.domain,
			facts: options.facts,
			sequence: Math.floor(options.timers.getWallTime() / heartbeatIntervalMs),
			send: (linkId, message) => {
				this.#connections.get(linkId)?.link.send(message);
			},
			close: linkId => {
				this.#closeLink(linkId);
			},
			isHashValid: options.isHashValid,
			onCount(label) {
				options.metrics.count('dropped', label);
			},
			hasAntiEntropy: !options.disabledMechanisms?.has('anti-entropy'),
		});
	}

	/** Starts listening, opens the first connections and maintains them until `stop` is called. */
	async start(): Promise<void> {
		await this.#options.network.serve(this.#options.peer, link => this.#addLink(link));
		this.#timer = this.#options.timers.startInterval(flushIntervalMs, () => {
			this.#onFlush();
		});
		this.#onFlush();
	}

	/** Sends all pending facts and closes every connection. */
	async stop(): Promise<void> {
		this.#timer?.cancel();
		this.gossip.sendFacts(false);
		await this.#options.network.close();
	}

	#onFlush(): void {
		const now = this.#options.timers.getNow();
		this.gossip.sendHeartbeats(now);
		this.gossip.sendFacts(this.#flushCount % flushesPerFullFlush !== 0);
		this.#flushCount++;
		if (now - this.#lastMaintainedAt >= heartbeatIntervalMs / 2) {
			this.#lastMaintainedAt = now;
			this.#closeSilentLinks(now);
			this.#openTargetLinks(now);
		}
	}

	#closeSilentLinks(now: number): void {
		if (this.#options.disabledMechanisms?.has('heartbeat on links')) {
			return;
		}

		for (const linkId of this.gossip.listSilentLinks(now)) {
			this.#options.metrics.count('dropped', 'silent_link');
			this.#closeLink(linkId);
		}
	}

	#openTargetLinks(now: number): void {
		const targets = this.#listTargets(now);
		const linkedVms = new Set(this.gossip.listConnectedVms());
		const dialedVms = new Set([...this.#connections.values()].map(connection => connection.target));
		for (const {vm, peer} of targets) {
			if (!linkedVms.has(vm) && !dialedVms.has(vm)) {
				this.#openLink(vm, peer);
			}
		}

		this.#closeSurplusLinks(new Set(targets.map(target => target.vm)), now);
	}

	#listTargets(now: number): Array<{readonly vm: string; readonly peer: string}> {
		const isUsable = (vm: string) => (this.#backoffs.get(vm)?.retryAt ?? now) <= now;
		const targets = listTargets(this.#options, this.#options.listNeighbors(), isUsable);
		if (targets.length > 0 || this.#connections.size > 0) {
			return targets;
		}

		return this.#options.seeds
			.filter(seed => seed !== this.#options.peer && isUsable(seed))
			.map(seed => ({vm: seed, peer: seed}));
	}

	#closeSurplusLinks(targetVms: ReadonlySet<string>, now: number): void {
		for (const [linkId, connection] of this.#connections) {
			if (connection.target === undefined || targetVms.has(connection.target)) {
				connection.surplusSince = undefined;
				continue;
			}

			connection.surplusSince ??= now;
			if (now - connection.surplusSince > surplusTimeoutMs) {
				this.#closeLink(linkId);
			}
		}
	}

	#openLink(vm: string, peer: string): void {
		const deferred: {handlers?: LinkHandlers} = {};
		const link = this.#options.network.open(peer, {
			onMessage(message) {
				deferred.handlers?.onMessage(message);
			},
			onClose() {
				deferred.handlers?.onClose();
			},
		});
		deferred.handlers = this.#addLink(link, vm);
	}

	#addLink(link: PeerLink, target?: string): LinkHandlers {
		const linkId = `${target ?? 'in'}#${this.#linkCount++}`;
		if (this.#connections.size >= maxLinks) {
			this.#options.metrics.count('dropped', 'too_many_links');
			link.close();
			return {onMessage() {/* The connection was closed at once. */}, onClose() {/* The connection was never added. */}};
		}

		this.#connections.set(linkId, {link, target});
		this.gossip.addLink(linkId, this.#options.timers.getNow());
		return {
			onMessage: message => {
				if (target !== undefined) {
					this.#backoffs.delete(target);
				}

				this.gossip.onMessage(linkId, message, this.#options.timers.getNow());
			},
			onClose: () => {
				this.#removeLink(linkId, target);
			},
		};
	}

	#closeLink(linkId: string): void {
		const connection = this.#connections.get(linkId);
		this.#removeLink(linkId, connection?.target);
		connection?.link.close();
	}

	#removeLink(linkId: string, target: string | undefined): void {
		if (!this.#connections.delete(linkId)) {
			return;
		}

		const now = this.#options.timers.getNow();
		this.gossip.removeLink(linkId, now);
		if (target !== undefined) {
			const delayMs = Math.min(maxBackoffMs, (this.#backoffs.get(target)?.delayMs ?? initialBackoffMs / 2) * 2);
			this.#backoffs.set(target, {retryAt: now + delayMs, delayMs});
			this.#pruneBackoffs(now);
		}
	}

	#pruneBackoffs(now: number): void {
		for (const [vm, backoff] of this.#backoffs) {
			if (now - backoff.retryAt > maxBackoffMs) {
				this.#backoffs.delete(vm);
			}
		}
	}
}

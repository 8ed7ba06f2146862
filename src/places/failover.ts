import type {MessageNetwork} from '../peers/index.js';
import type {Timer, TimerService} from '../timers/index.js';
import type {SlotAllocator} from './allocator.js';
import {listAllocators} from './candidates.js';
import type {AllocatorCandidate} from './candidates.js';
import {LimitLink} from './limitlink.js';
import {allocatorMessageKind, parseItems, toItems} from './messages.js';
import {RecentRefusals} from './refusals.js';
import {AllocatorLostError, RemoteAllocator} from './remoteallocator.js';
import {computeRemainingRequest, HeldReservations} from './tracked.js';
import type {RequestAtTime} from './tracked.js';
import {ReservationProvider} from './types.js';
import type {Reservation, ReservationRequest} from './types.js';

/** Time for which a lost allocator is not tried again, in milliseconds. */
const lostAllocatorBackoffMs = 1500;
/** Number of allocators of a service that are tried in order; when all are lost, each entry allocates for itself. */
const maxAllocators = 3;

/** Delay before limits are published, in milliseconds, in which entries that have the news connect by themselves; and the time for which its connections stay open. */
const publishDelayMs = 20;
const publishMs = 1000;

/** Which allocator an entry uses for a service. */
const allocatorUse = {
	/** That of this process, as one of the service's. */
	local: 'local',
	remote: 'remote',
	/** That of this process, as none of the service's can be reached. */
	none: 'none',
} as const;

type AllocatorUse = (typeof allocatorUse)[keyof typeof allocatorUse];

export type FailoverDependencies = {
	readonly timers: TimerService;
	readonly getRandom: () => number;
	readonly network: MessageNetwork;
	/** Allocator of this process. */
	readonly localAllocator: SlotAllocator;
	/** VM of this process. */
	readonly localVm: string;
	/** `host:port` at which this process accepts reservation requests of other entries. */
	readonly localAddress: string;
	/**
	Lists all entries that are believed to be live. Returns the same array while nothing changes, so that the allocators need
	not be chosen anew for each request.
	*/
	readonly listCandidates: () => readonly AllocatorCandidate[];
	/** Called with `asked` when a connection to an allocator is opened, and with `lost:` and the reason when the allocator is lost. */
	readonly onAllocatorChange: (address: string, change: string) => void;
};

/**
Acquires reservations from the entry that allocates for the service, and fails over to the next one when that is lost. All
entries use the same allocator for a service, each over its own connection, so that all requests of the service wait in one
queue and no engine gets more than it can take. An entry that reaches no allocator allocates its share of the engines'
capacity itself. A reservation saves sends that would fail but guarantees nothing: a full engine still refuses.
*/
export class FailoverReservations extends ReservationProvider {
	readonly #dependencies: FailoverDependencies;
	readonly #remoteAllocators = new Map<string, RemoteAllocator>();
	readonly #skippedUntil = new Map<string, number>();
	readonly #refusals: RecentRefusals;
	/** Addresses of the allocators of each service, chosen from `#candidates`. */
	readonly #allocators = new Map<string, readonly string[]>();
	readonly #held: HeldReservations;
	#candidates: readonly AllocatorCandidate[] = [];
	#publishTimer: Timer | undefined;
	#isIsolated = false;
	/** Which allocator the latest request of each service went to. */
	readonly #usedAllocators = new Map<string, AllocatorUse>();

	constructor(dependencies: FailoverDependencies) {
		super();
		this.#dependencies = dependencies;
		this.#refusals = new RecentRefusals(dependencies.timers, dependencies.getRandom, dependencies.localAllocator.limits);
		this.#held = new HeldReservations(dependencies.timers);
		dependencies.localAllocator.limits.subscribe(change => {
			if (Number.isFinite(change.perSecond) && !Number.isFinite(change.previousPerSecond)) {
				this.#publishLimits(change.service);
			}
		});
	}

	/** Computes the share of each engine's capacity that the allocator of this process may grant, above 0 up to 1. */
	computeSlotShare(): number {
		return this.#isIsolated ? 1 / Math.max(1, this.#dependencies.listCandidates().length) : 1;
	}

	/**
	Computes the share of the limits of a service's engines that the allocator of this process may grant, above 0 up to 1. The first choice grants all
	of them but the shares of the entries that it lost, which ask another allocator now; any other one grants the shares of the entries that ask it.
	*/
	computeLimitShare(service: string): number {
		const {timers, localAllocator: {clients}, localAddress} = this.#dependencies;
		const candidates = this.#dependencies.listCandidates();
		const entryCount = Math.max(1, candidates.length);
		const usage = this.#usedAllocators.get(service);
		if (usage === allocatorUse.none) {
			return 1 / entryCount;
		}

		const now = timers.getNow();
		const [first] = this.#listAllocators(service);
		if (first === undefined || first === localAddress) {
			const vms = new Set(candidates.map(({vm}) => vm));
			return Math.max(1, entryCount - clients.listLost(service, now).filter(vm => vms.has(vm)).length) / entryCount;
		}

		const askingCount = clients.countAsking(service, now) + (usage === allocatorUse.local ? 1 : 0);
		return Math.min(1, Math.max(1, askingCount) / entryCount);
	}

	async acquire(request: ReservationRequest, signal: AbortSignal): Promise<Reservation> {
		const requestAtTime = {request, requestedAt: this.#dependencies.timers.getNow()};
		return this.callAllocator(request.service, async allocator => {
			if (allocator instanceof RemoteAllocator) {
				this.#refusals.check(request);
			}

			return this.#acquireFrom(allocator, requestAtTime, signal);
		});
	}

	/** Calls the first allocator of a service that is not lost; the one of this process when all are. */
	async callAllocator<Result>(service: string, call: (allocator: SlotAllocator | RemoteAllocator) => Promise<Result>): Promise<Result> {
		const {timers, localAllocator, localAddress} = this.#dependencies;
		for (const address of this.#listAllocators(service)) {
			if (address === localAddress) {
				this.#isIsolated = false;
				this.#usedAllocators.set(service, allocatorUse.local);
				return call(localAllocator);
			}

			if ((this.#skippedUntil.get(address) ?? 0) > timers.getNow()) {
				continue;
			}

			try {
				const allocator = this.#getRemoteAllocator(address);
				this.#usedAllocators.set(service, allocatorUse.remote);
				return await call(allocator);
			} catch (error) {
				if (!(error instanceof AllocatorLostError)) {
					throw error;
				}
			}
		}

		this.#isIsolated = true;
		this.#usedAllocators.set(service, allocatorUse.none);
		return call(localAllocator);
	}

	connect(service: string): void {
		const {timers, localAddress} = this.#dependencies;
		for (const address of this.#listAllocators(service)) {
			if (address !== localAddress && (this.#skippedUntil.get(address) ?? 0) <= timers.getNow()) {
				this.#getRemoteAllocator(address);
			}
		}
	}

	/** Connects to the first allocator of a service that is not lost, so that it knows what this process knows. */
	connectFirst(service: string): void {
		const {timers, localAddress} = this.#dependencies;
		const address = this.#listAllocators(service).find(candidate => candidate === localAddress || (this.#skippedUntil.get(candidate) ?? 0) <= timers.getNow());
		if (address !== undefined && address !== localAddress) {
			this.#getRemoteAllocator(address);
		}
	}

	/** Closes the connections to other entries' allocators. */
	stop(): void {
		this.#publishTimer?.cancel();
		for (const allocator of this.#remoteAllocators.values()) {
			allocator.close();
		}
	}

	/**
	Tells all entries of the limits that are known, if this process is the first choice for a service: those that have not been told by an
	answer would otherwise send one request each before they ask for permits. Limits that become known close together are published at once.
	*/
	#publishLimits(service: string): void {
		const {timers, localAddress} = this.#dependencies;
		const isFirst = this.#listAllocators(service)[0] === localAddress;
		if (this.#publishTimer !== undefined || !isFirst) {
			return;
		}

		this.#publishTimer = timers.startTimer(publishDelayMs, () => {
			this.#publishTimer = undefined;
			const connected = this.#dependencies.localAllocator.clients.listVms();
			for (const {vm, address} of this.#dependencies.listCandidates()) {
				if (address !== localAddress && !connected.has(vm)) {
					this.#publishTo(address);
				}
			}
		});
	}

	#publishTo(address: string): void {
		const {timers, network, localAllocator, localVm} = this.#dependencies;
		const limitLink = new LimitLink({
			timers, limits: localAllocator.limits, localVm, send(message) {
				link.send(toItems(message));
			},
		});
		const closeTimer = timers.startTimer(publishMs, () => {
			link.close();
		});
		const link = network.open(address, {
			onMessage(items) {
				const message = parseItems(items);
				if (message.kind === allocatorMessageKind.limits) {
					limitLink.onMessage(message.limits);
				}
			},
			onClose() {
				closeTimer.cancel();
				limitLink.close();
			},
		});
		limitLink.start();
	}

	#listAllocators(service: string): readonly string[] {
		const candidates = this.#dependencies.listCandidates();
		if (candidates !== this.#candidates) {
			this.#candidates = candidates;
			this.#allocators.clear();
		}

		const allocators = this.#allocators.get(service) ?? listAllocators(service, candidates, maxAllocators);
		this.#allocators.set(service, allocators);
		return allocators;
	}

	/** Waits for a reservation from an allocator, which is told of those that are held if others granted them. */
	async #acquireFrom(allocator: SlotAllocator | RemoteAllocator, requestAtTime: RequestAtTime, signal: AbortSignal): Promise<Reservation> {
		this.#held.onAllocator(requestAtTime.request.service, allocator);
		const granted = await allocator.acquire(computeRemainingRequest(requestAtTime, this.#dependencies.timers.getNow()), signal);
		return this.#held.track(requestAtTime, allocator, granted);
	}

	#getRemoteAllocator(address: string): RemoteAllocator {
		let allocator = this.#remoteAllocators.get(address);
		if (!allocator) {
			this.#dependencies.onAllocatorChange(address, 'asked');
			allocator = new RemoteAllocator(this.#dependencies.timers, this.#dependencies.network, address, {
				quarantine: this.#dependencies.localAllocator.quarantine,
				limits: this.#dependencies.localAllocator.limits,
				localVm: this.#dependencies.localVm,
				onLost: reason => {
					this.#remoteAllocators.delete(address);
					this.#skippedUntil.set(address, this.#dependencies.timers.getNow() + lostAllocatorBackoffMs);
					this.#dependencies.onAllocatorChange(address, `lost: ${reason}`);
				},
				onAnswer: (request, isGranted, grantRate) => {
					this.#refusals.onAnswer(request, isGranted, grantRate);
				},
				onLimited: (request, retryAfterMs) => {
					this.#refusals.onLimited(request, retryAfterMs);
				},
			});
			this.#remoteAllocators.set(address, allocator);
		}

		return allocator;
	}
}

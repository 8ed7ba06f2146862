import type {MessageNetwork} from '../peers/index.js';
import type {TimerService} from '../timers/index.js';
import type {SlotAllocator} from './allocator.js';
import {listAllocators} from './candidates.js';
import type {AllocatorCandidate} from './candidates.js';
import {RecentRefusals} from './refusals.js';
import {AllocatorLostError, RemoteAllocator} from './remoteallocator.js';
import {ReservationProvider} from './types.js';
import type {Reservation, ReservationRequest} from './types.js';

/** How long a keeper that was lost is not asked again, in milliseconds. */
const lostAllocatorBackoffMs = 1500;
/** Owners of a service that are tried in turn; with more lost, each entry keeps its own places. */
const maxAllocators = 3;

/** What sharing places needs. */
export type FailoverDependencies = {
	readonly timers: TimerService;
	readonly getRandom: () => number;
	readonly network: MessageNetwork;
	/** The keeper of this process. */
	readonly localAllocator: SlotAllocator;
	/** Address that this process serves other entries' asks at. */
	readonly localAddress: string;
	/** All entries that are believed to live; the same list while nothing changes, so that a request costs no choice of keepers. */
	readonly listCandidates: () => readonly AllocatorCandidate[];
	/** Told of each keeper that is lost or asked for the first time. */
	readonly onAllocatorChange: (address: string, change: string) => void;
};

/**
One entry keeps the places of each service: the same one for all. The others ask it over
their own connection, so that all requests of a service wait in one line and no engine is given more than it can take.
An entry that reaches no keeper keeps its part of the places by itself. The keeper's word saves work and is no promise:
an engine that is full still refuses.
*/
export class FailoverReservations extends ReservationProvider {
	readonly #dependencies: FailoverDependencies;
	readonly #remoteAllocators = new Map<string, RemoteAllocator>();
	readonly #skippedUntil = new Map<string, number>();
	readonly #refusals: RecentRefusals;
	/** Keepers of each service among the entries that were listed last. */
	readonly #allocators = new Map<string, readonly string[]>();
	#candidates: readonly AllocatorCandidate[] = [];
	#isIsolated = false;

	constructor(dependencies: FailoverDependencies) {
		super();
		this.#dependencies = dependencies;
		this.#refusals = new RecentRefusals(dependencies.timers, dependencies.getRandom);
	}

	/** Part of each engine's places that the keeper of this process may give. */
	computeCapacityShare(): number {
		return this.#isIsolated ? 1 / Math.max(1, this.#dependencies.listCandidates().length) : 1;
	}

	async acquire(request: ReservationRequest, signal: AbortSignal): Promise<Reservation> {
		const {timers, localAllocator, localAddress} = this.#dependencies;
		const requestedAt = timers.getNow();
		for (const address of this.#listAllocators(request.service)) {
			if (address === localAddress) {
				this.#isIsolated = false;
				return localAllocator.acquire(this.#computeRemaining(request, requestedAt), signal);
			}

			if ((this.#skippedUntil.get(address) ?? 0) > timers.getNow()) {
				continue;
			}

			try {
				return await this.#acquireRemote(address, this.#computeRemaining(request, requestedAt), signal);
			} catch (error) {
				if (!(error instanceof AllocatorLostError)) {
					throw error;
				}
			}
		}

		this.#isIsolated = true;
		return localAllocator.acquire(this.#computeRemaining(request, requestedAt), signal);
	}

	/** Closes the connections to other keepers. */
	stop(): void {
		for (const allocator of this.#remoteAllocators.values()) {
			allocator.close();
		}
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

	/** Asks another entry's keeper, unless it refused requests of this kind just now. */
	async #acquireRemote(address: string, request: ReservationRequest, signal: AbortSignal): Promise<Reservation> {
		const allocator = this.#getRemoteAllocator(address);
		this.#refusals.check(request);
		return allocator.acquire(request, signal);
	}

	/** Counts the time that was lost with an earlier keeper. */
	#computeRemaining(request: ReservationRequest, requestedAt: number): ReservationRequest {
		const elapsedMs = this.#dependencies.timers.getNow() - requestedAt;
		return elapsedMs === 0
			? request
			: {
				...request, targetMs: request.targetMs - elapsedMs, deadlineMs: request.deadlineMs - elapsedMs, firstByteTimeoutMs: request.firstByteTimeoutMs - elapsedMs,
			};
	}

	#getRemoteAllocator(address: string): RemoteAllocator {
		let allocator = this.#remoteAllocators.get(address);
		if (!allocator) {
			this.#dependencies.onAllocatorChange(address, 'asked');
			allocator = new RemoteAllocator(this.#dependencies.timers, this.#dependencies.network, address, {
				onLost: reason => {
					this.#remoteAllocators.delete(address);
					this.#skippedUntil.set(address, this.#dependencies.timers.getNow() + lostAllocatorBackoffMs);
					this.#dependencies.onAllocatorChange(address, `lost: ${reason}`);
				},
				onAnswer: (request, isGranted, grantRate) => {
					this.#refusals.onAnswer(request, isGranted, grantRate);
				},
			});
			this.#remoteAllocators.set(address, allocator);
		}

		return allocator;
	}
}

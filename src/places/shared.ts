import type {MessageNetwork} from '../peers/index.js';
import type {TimerService} from '../timers/index.js';
import type {PlaceKeeper} from './keeper.js';
import {listKeepers} from './members.js';
import type {PlaceMember} from './members.js';
import {RecentRefusals} from './refusals.js';
import {KeeperLostError, RemoteKeeper} from './remote.js';
import {PlaceSource} from './types.js';
import type {HeldPlace, PlaceAsk} from './types.js';

/** How long a keeper that was lost is not asked again, in milliseconds. */
const lostPauseMs = 1500;
/** Owners of a service that are tried in turn; with more lost, each entry keeps its own places. */
const mostOwners = 3;

/** What sharing places needs. */
export type SharedPlacesParts = {
	readonly timers: TimerService;
	readonly pickUnit: () => number;
	readonly network: MessageNetwork;
	/** The keeper of this process. */
	readonly keeper: PlaceKeeper;
	/** Address that this process serves other entries' asks at. */
	readonly ownAddress: string;
	/** All entries that are believed to live; the same list while nothing changes, so that a request costs no choice of keepers. */
	readonly listMembers: () => readonly PlaceMember[];
	/** Told of each keeper that is lost or asked for the first time. */
	readonly onKeeper: (address: string, change: string) => void;
};

/**
One entry keeps the places of each service: the same one for all. The others ask it over
their own connection, so that all requests of a service wait in one line and no engine is given more than it can take.
An entry that reaches no keeper keeps its part of the places by itself. The keeper's word saves work and is no promise:
an engine that is full still refuses.
*/
export class SharedPlaces extends PlaceSource {
	readonly #parts: SharedPlacesParts;
	readonly #remotes = new Map<string, RemoteKeeper>();
	readonly #lostUntil = new Map<string, number>();
	readonly #refusals: RecentRefusals;
	/** Keepers of each service among the entries that were listed last. */
	readonly #keepers = new Map<string, readonly string[]>();
	#members: readonly PlaceMember[] = [];
	#isAlone = false;

	constructor(parts: SharedPlacesParts) {
		super();
		this.#parts = parts;
		this.#refusals = new RecentRefusals(parts.timers, parts.pickUnit);
	}

	/** Part of each engine's places that the keeper of this process may give. */
	computeShare(): number {
		return this.#isAlone ? 1 / Math.max(1, this.#parts.listMembers().length) : 1;
	}

	async acquire(ask: PlaceAsk, signal: AbortSignal): Promise<HeldPlace> {
		const {timers, keeper, ownAddress} = this.#parts;
		const askedAt = timers.getNow();
		for (const address of this.#listKeepers(ask.service)) {
			if (address === ownAddress) {
				this.#isAlone = false;
				return keeper.acquire(this.#computeLeft(ask, askedAt), signal);
			}

			if ((this.#lostUntil.get(address) ?? 0) > timers.getNow()) {
				continue;
			}

			try {
				return await this.#askRemote(address, this.#computeLeft(ask, askedAt), signal);
			} catch (error) {
				if (!(error instanceof KeeperLostError)) {
					throw error;
				}
			}
		}

		this.#isAlone = true;
		return keeper.acquire(this.#computeLeft(ask, askedAt), signal);
	}

	/** Closes the connections to other keepers. */
	stop(): void {
		for (const remote of this.#remotes.values()) {
			remote.close();
		}
	}

	#listKeepers(service: string): readonly string[] {
		const members = this.#parts.listMembers();
		if (members !== this.#members) {
			this.#members = members;
			this.#keepers.clear();
		}

		const keepers = this.#keepers.get(service) ?? listKeepers(service, members, mostOwners);
		this.#keepers.set(service, keepers);
		return keepers;
	}

	/** Asks another entry's keeper, unless it refused requests of this kind just now. */
	async #askRemote(address: string, ask: PlaceAsk, signal: AbortSignal): Promise<HeldPlace> {
		const remote = this.#getRemote(address);
		this.#refusals.check(ask);
		return remote.acquire(ask, signal);
	}

	/** Counts the time that was lost with an earlier keeper. */
	#computeLeft(ask: PlaceAsk, askedAt: number): PlaceAsk {
		const lostMs = this.#parts.timers.getNow() - askedAt;
		return lostMs === 0
			? ask
			: {
				...ask, targetMs: ask.targetMs - lostMs, deadlineMs: ask.deadlineMs - lostMs, patienceMs: ask.patienceMs - lostMs,
			};
	}

	#getRemote(address: string): RemoteKeeper {
		let remote = this.#remotes.get(address);
		if (!remote) {
			this.#parts.onKeeper(address, 'asked');
			remote = new RemoteKeeper(this.#parts.timers, this.#parts.network, address, {
				onLost: reason => {
					this.#remotes.delete(address);
					this.#lostUntil.set(address, this.#parts.timers.getNow() + lostPauseMs);
					this.#parts.onKeeper(address, `lost: ${reason}`);
				},
				onAnswer: (asked, isGiven, givenPart) => {
					this.#refusals.onAnswer(asked, isGiven, givenPart);
				},
			});
			this.#remotes.set(address, remote);
		}

		return remote;
	}
}

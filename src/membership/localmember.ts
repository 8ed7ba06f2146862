import type {FactTable, MemberFact} from '../feed/index.js';
import {upstreamState} from '../feed/index.js';
import {vmState} from '../store/index.js';
import type {TimerService} from '../timers/index.js';

/** What a {@link LocalMember} needs. */
export type LocalMemberDependencies = {
	readonly vm: string;
	readonly domain: string;
	readonly http: string;
	readonly peer: string;
	readonly facts: FactTable;
	readonly timers: TimerService;
	/** Tells whether the local router sends new requests to an upstream, and how many of its requests are in progress there. */
	readonly router: {readonly isAvailable: (upstream: string) => boolean; readonly countInFlight: (upstream: string) => number};
	/** Version of the configuration in force, 0 when none is. */
	readonly getConfiguration: () => number;
	/** Whether the local entry is shutting down. */
	readonly isLeaving?: () => boolean;
	/** Whether entries of this failure domain may send requests to the upstream; also `true` for an unknown upstream. */
	readonly isUsed: (upstream: string) => boolean;
};

/**
Creates and publishes the local entry's member fact. Its version and incarnation only increase, also over restarts of the
process and when the wall clock goes back.
*/
export class LocalMember {
	readonly #dependencies: LocalMemberDependencies;
	#incarnation: number;
	#version: number;

	constructor(dependencies: LocalMemberDependencies) {
		this.#dependencies = dependencies;
		this.#incarnation = Math.max(Math.floor(dependencies.timers.getWallTime()), (dependencies.facts.get('member', dependencies.vm)?.value.incarnation ?? -1) + 1);
		this.#version = this.#incarnation;
	}

	/** Identifies this start of the process; rises when another process with this VM's name published the same or a higher one. */
	get incarnation(): number {
		return this.#incarnation;
	}

	/**
	Handles a member fact about this VM that another entry relayed. One from an earlier start, or from another process with
	this VM's name, raises the local incarnation above that fact's and the local version to at least that fact's. Returns
	whether the local fact must be published again.
	*/
	onRemoteFact(version: number, incarnation: number): boolean {
		if (incarnation === this.#incarnation && version <= this.#version) {
			return false;
		}

		this.#incarnation = Math.max(this.#incarnation, incarnation + 1);
		this.#version = Math.max(this.#version, version, this.#incarnation);
		return true;
	}

	/** Stores the local member fact, as it is now, with a new version in the fact table. */
	publish(): void {
		const {facts, vm} = this.#dependencies;
		this.#version = Math.max(this.#version, facts.get('member', vm)?.version ?? 0) + 1;
		facts.merge({
			kind: 'member', key: vm, version: this.#version, value: this.createFact(),
		});
	}

	/** Creates the local member fact as it is now. */
	createFact(): MemberFact {
		const {vm, domain, http, peer} = this.#dependencies;
		return {
			vm,
			domain,
			http,
			peer,
			incarnation: this.#incarnation,
			state: this.#dependencies.isLeaving?.() ? vmState.leaving : vmState.live,
			configuration: this.#dependencies.getConfiguration(),
			closed: this.#createClosedUpstreams(),
		};
	}

	/** Lists an upstream as closed only if the local router refuses new requests to it at this very moment: the authority relies on it. */
	#createClosedUpstreams(): MemberFact['closed'] {
		const {facts, router, isUsed} = this.#dependencies;
		const closed = facts.list('upstream').filter(fact => fact.value.state !== upstreamState.serving && isUsed(fact.key) && !router.isAvailable(fact.key));
		return Object.fromEntries(closed.map(fact => [fact.key, {version: fact.version, running: router.countInFlight(fact.key)}]));
	}
}

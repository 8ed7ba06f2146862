import type {FactTable, MemberFact} from '../feed/index.js';
import {upstreamState} from '../feed/index.js';
import {vmState} from '../store/index.js';
import type {TimerService} from '../timers/index.js';

/** What an entry says of itself is made from this. */
export type LocalMemberDependencies = {
	readonly vm: string;
	readonly domain: string;
	readonly http: string;
	readonly peer: string;
	readonly facts: FactTable;
	readonly timers: TimerService;
	readonly router: {readonly isOpen: (upstream: string) => boolean; readonly countRunning: (upstream: string) => number};
	/** Version of the configuration in force, 0 when none is. */
	readonly getConfiguration: () => number;
	/** Says whether this entry is on its way out. */
	readonly isLeaving?: () => boolean;
	/** Says whether entries of this failure domain use the upstream; when unknown, they may. */
	readonly isUsed: (upstream: string) => boolean;
};

/** The entry's own member fact: its versions and incarnations only rise, also over restarts. */
export class LocalMember {
	readonly #dependencies: LocalMemberDependencies;
	#incarnation: number;
	#version: number;

	constructor(dependencies: LocalMemberDependencies) {
		this.#dependencies = dependencies;
		this.#incarnation = Math.max(Math.floor(dependencies.timers.getWallTime()), (dependencies.facts.get('member', dependencies.vm)?.value.incarnation ?? -1) + 1);
		this.#version = this.#incarnation;
	}

	get incarnation(): number {
		return this.#incarnation;
	}

	/**
	Takes in a fact of this VM that came from others: one of an earlier start, or of another process with this VM's
	name. Says whether the own fact must be published anew.
	*/
	onRemoteFact(version: number, incarnation: number): boolean {
		if (incarnation === this.#incarnation && version <= this.#version) {
			return false;
		}

		this.#incarnation = Math.max(this.#incarnation, incarnation + 1);
		this.#version = Math.max(this.#version, version, this.#incarnation);
		return true;
	}

	/** Puts the fact of this moment into the table. */
	publish(): void {
		const {facts, vm} = this.#dependencies;
		this.#version = Math.max(this.#version, facts.get('member', vm)?.version ?? 0) + 1;
		facts.merge({
			kind: 'member', key: vm, version: this.#version, value: this.createFact(),
		});
	}

	/** Makes the fact of this moment. */
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

	/** An upstream counts as closed here only when the router refuses it in this same turn. */
	#createClosedUpstreams(): MemberFact['closed'] {
		const {facts, router, isUsed} = this.#dependencies;
		const closed = facts.list('upstream').filter(fact => fact.value.state !== upstreamState.serving && isUsed(fact.key) && !router.isOpen(fact.key));
		return Object.fromEntries(closed.map(fact => [fact.key, {version: fact.version, running: router.countRunning(fact.key)}]));
	}
}

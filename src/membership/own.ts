import type {FactTable, MemberFact} from '../feed/index.js';
import {upstreamState} from '../feed/index.js';
import {vmState} from '../store/index.js';
import type {TimerService} from '../timers/index.js';

/** What an entry says of itself is made from this. */
export type OwnOptions = {
	readonly vm: string;
	readonly domain: string;
	readonly http: string;
	readonly peer: string;
	readonly facts: FactTable;
	readonly timers: TimerService;
	readonly router: {readonly isAvailable: (upstream: string) => boolean; readonly countInFlight: (upstream: string) => number};
	/** Version of the configuration in force, 0 when none is. */
	readonly getConfiguration: () => number;
	/** Says whether this entry is on its way out. */
	readonly isLeaving?: () => boolean;
	/** Says whether entries of this failure domain use the upstream; when unknown, they may. */
	readonly isNear: (upstream: string) => boolean;
};

/** The entry's own member fact: its versions and incarnations only rise, also over restarts. */
export class OwnMember {
	readonly #options: OwnOptions;
	#incarnation: number;
	#version: number;

	constructor(options: OwnOptions) {
		this.#options = options;
		this.#incarnation = Math.max(Math.floor(options.timers.getWallTime()), (options.facts.get('member', options.vm)?.value.incarnation ?? -1) + 1);
		this.#version = this.#incarnation;
	}

	get incarnation(): number {
		return this.#incarnation;
	}

	/**
	Takes in a fact of this VM that came from others: one of an earlier start, or of another process with this VM's
	name. Says whether the own fact must be published anew.
	*/
	onForeign(version: number, incarnation: number): boolean {
		if (incarnation === this.#incarnation && version <= this.#version) {
			return false;
		}

		this.#incarnation = Math.max(this.#incarnation, incarnation + 1);
		this.#version = Math.max(this.#version, version, this.#incarnation);
		return true;
	}

	/** Puts the fact of this moment into the table. */
	publish(): void {
		const {facts, vm} = this.#options;
		this.#version = Math.max(this.#version, facts.get('member', vm)?.version ?? 0) + 1;
		facts.merge({
			kind: 'member', key: vm, version: this.#version, value: this.createFact(),
		});
	}

	/** Makes the fact of this moment. */
	createFact(): MemberFact {
		const {vm, domain, http, peer} = this.#options;
		return {
			vm,
			domain,
			http,
			peer,
			incarnation: this.#incarnation,
			state: this.#options.isLeaving?.() ? vmState.leaving : vmState.live,
			configuration: this.#options.getConfiguration(),
			closed: this.#listClosed(),
		};
	}

	/** An upstream counts as closed here only when the router refuses it in this same turn. */
	#listClosed(): MemberFact['closed'] {
		const {facts, router, isNear} = this.#options;
		const closed = facts.list('upstream').filter(fact => fact.value.state !== upstreamState.serving && isNear(fact.key) && !router.isAvailable(fact.key));
		return Object.fromEntries(closed.map(fact => [fact.key, {version: fact.version, running: router.countInFlight(fact.key)}]));
	}
}

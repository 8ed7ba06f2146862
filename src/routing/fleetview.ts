import {engineRole} from '../deployment/index.js';
import type {Deployment, EngineRole, Upstream} from '../deployment/index.js';
import type {Fact, FactTable, MemberFact} from '../feed/index.js';
import {upstreamState} from '../feed/index.js';
import {vmState} from '../store/index.js';
import type {RoutingRequest} from './types.js';

/** What decisions read of the deployment and the facts. */
export class FleetView {
	readonly #facts: FactTable;
	readonly #getDeployment: () => Deployment | undefined;
	readonly #isLive: (member: MemberFact) => boolean;

	constructor(
		facts: FactTable,
		getDeployment: () => Deployment | undefined,
		/** Failure domain of this entry. */
		readonly domain: string,
		/** Says whether an entry was heard from of late; a killed one says "live" in its last fact for long. */
		isLive: (member: MemberFact) => boolean = () => true,
	) {
		this.#facts = facts;
		this.#getDeployment = getDeployment;
		this.#isLive = isLive;
	}

	/** The deployment in force. */
	get deployment(): Deployment | undefined {
		return this.#getDeployment();
	}

	/** Lists the upstreams of a service. */
	listUpstreams(service: string): readonly Upstream[] {
		return this.deployment?.upstreams.filter(upstream => upstream.service === service) ?? [];
	}

	/** Says whether an upstream may be sent new work. */
	isAvailable(upstream: string): boolean {
		const fact = this.#facts.get('upstream', upstream);
		return fact === undefined || fact.value.state === upstreamState.serving;
	}

	/** Says whether an engine has what a request needs, as far as its setup is known. */
	isCompatible(upstream: string, request: RoutingRequest): boolean {
		const setup = this.#facts.get('upstream', upstream)?.value.setup;
		return setup === undefined || (setup.model === request.model && setup.version === request.version
			&& (request.adapter === undefined || setup.adapters.includes(request.adapter)));
	}

	/** Returns the role of an engine, as it or its authority last said. */
	getRole(upstream: string): EngineRole {
		return this.#facts.get('load', upstream)?.value.role ?? this.#facts.get('upstream', upstream)?.value.setup?.role ?? engineRole.mixed;
	}

	/** Lists the live entries of a failure domain. */
	listLiveMembers(domain: string): readonly MemberFact[] {
		return this.#facts.list('member')
			.map((fact: Fact<'member'>) => fact.value)
			.filter(member => member.domain === domain && member.state === vmState.live && this.#isLive(member));
	}

	/** Counts the live entries of this entry's failure domain, itself included. */
	countEntries(): number {
		return Math.max(1, this.listLiveMembers(this.domain).length);
	}
}

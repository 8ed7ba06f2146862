import {engineRole} from '../deployment/index.js';
import type {Deployment, EngineRole, Upstream} from '../deployment/index.js';
import type {Fact, FactTable, MemberFact} from '../feed/index.js';
import {upstreamState} from '../feed/index.js';
import {vmState} from '../store/index.js';
import type {RoutingRequest} from './types.js';

/** What routing and planning read from the deployment and the facts. */
export class FleetView {
	readonly #facts: FactTable;
	readonly #getDeployment: () => Deployment | undefined;
	readonly #isLive: (member: MemberFact) => boolean;

	constructor(
		facts: FactTable,
		getDeployment: () => Deployment | undefined,
		/** Failure domain of this entry. */
		readonly domain: string,
		/** Tells whether a fact of an entry was received lately. The state in the fact does not tell: the last one of a killed entry says `live`. */
		isLive: (member: MemberFact) => boolean = () => true,
	) {
		this.#facts = facts;
		this.#getDeployment = getDeployment;
		this.#isLive = isLive;
	}

	/** The deployment in force; `undefined` before the first configuration. */
	get deployment(): Deployment | undefined {
		return this.#getDeployment();
	}

	/** Lists the upstreams of a service. */
	listUpstreams(service: string): readonly Upstream[] {
		return this.deployment?.upstreams.filter(upstream => upstream.service === service) ?? [];
	}

	/** Tells whether an upstream may get new requests. */
	isAvailable(upstream: string): boolean {
		const fact = this.#facts.get('upstream', upstream);
		return fact === undefined || fact.value.state === upstreamState.serving;
	}

	/** Tells whether an engine has the model, version and adapter that a request needs; true when its setup is not known. */
	isCompatible(upstream: string, request: RoutingRequest): boolean {
		const setup = this.#facts.get('upstream', upstream)?.value.setup;
		return setup === undefined || (setup.model === request.model && setup.version === request.version
			&& (request.adapter === undefined || setup.adapters.includes(request.adapter)));
	}

	/** Returns the role of an engine by its last load report, or else by its authority; `mixed` when neither is known. */
	getRole(upstream: string): EngineRole {
		return this.#facts.get('load', upstream)?.value.role ?? this.#facts.get('upstream', upstream)?.value.setup?.role ?? engineRole.mixed;
	}

	/** Lists the live entries of a failure domain by their facts. */
	listLiveMembers(domain: string): readonly MemberFact[] {
		return this.#facts.list('member')
			.map((fact: Fact<'member'>) => fact.value)
			.filter(member => member.domain === domain && member.state === vmState.live && this.#isLive(member));
	}

	/** Counts the live entries of this failure domain, at least 1. */
	countEntries(): number {
		return Math.max(1, this.listLiveMembers(this.domain).length);
	}
}

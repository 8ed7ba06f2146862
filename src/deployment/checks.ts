import type {ProblemList} from './problems.js';
import {
	applicationSchema, headSchema, modelSchema, upstreamSchema,
} from './wire.js';
import type {RawService} from './wire.js';
import {serviceKind} from './types.js';

type RawUpstream = {readonly index: number; readonly id: string; readonly service: string; readonly domain: string; readonly address: string};

/** The services and upstreams that are valid by themselves. References are checked among these, so that a problem in one part does not hide those in others. */
type ValidParts = {
	/** `undefined` when the section `deployment` is invalid. */
	readonly domains: ReadonlySet<string> | undefined;
	/** Names of all services, valid or not. */
	readonly names: ReadonlySet<string>;
	readonly services: ReadonlyMap<string, RawService>;
	readonly upstreams: readonly RawUpstream[];
};

/** Checks the references between services, upstreams and domains, and adds each problem to `problemList`. */
export function checkReferences(raw: unknown, problemList: ProblemList): void {
	const parts = collectParts(raw);
	checkDependencies(parts, problemList);
	checkCycles(parts, problemList);
	checkUpstreams(parts, problemList);
	checkRoleMinimums(parts, problemList);
}

function collectParts(raw: unknown): ValidParts {
	const {deployment, services, upstreams} = (raw ?? {}) as {deployment?: unknown; services?: Record<string, {kind?: unknown}>; upstreams?: unknown[]};
	const head = headSchema.safeParse(deployment);
	const validServices = new Map<string, RawService>();
	for (const [name, service] of Object.entries(services ?? {})) {
		const result = service?.kind === serviceKind.model ? modelSchema.safeParse(service) : applicationSchema.safeParse(service);
		if (result.success) {
			validServices.set(name, result.data);
		}
	}

	return {
		domains: head.success ? new Set(head.data.domains) : undefined,
		names: new Set(Object.keys(services ?? {})),
		services: validServices,
		upstreams: (Array.isArray(upstreams) ? upstreams : []).flatMap((upstream, index) => {
			const result = upstreamSchema.safeParse(upstream);
			return result.success ? [{...result.data, index}] : [];
		}),
	};
}

function checkDependencies({names, services}: ValidParts, problemList: ProblemList): void {
	const namesByModel = new Map<string, string>();
	for (const [name, service] of services) {
		for (const [index, dependency] of service.depends_on.entries()) {
			if (!names.has(dependency)) {
				problemList.addProblem(['services', name, 'depends_on', index], `a service of this text: ${[...names].join(', ')}`);
			}
		}

		if (service.model !== undefined) {
			const other = namesByModel.get(service.model);
			if (other !== undefined) {
				problemList.addProblem(['services', name, 'model'], `a model of its own; services.${other} has this one`);
			}

			namesByModel.set(service.model, name);
		}
	}
}

function checkCycles({services}: ValidParts, problemList: ProblemList): void {
	const visited = new Set<string>();
	const findCycle = (name: string, path: readonly string[]): readonly string[] | undefined => {
		if (path.includes(name)) {
			return [...path.slice(path.indexOf(name)), name];
		}

		if (visited.has(name)) {
			return undefined;
		}

		for (const dependency of services.get(name)?.depends_on ?? []) {
			const cycle = findCycle(dependency, [...path, name]);
			if (cycle) {
				return cycle;
			}
		}

		visited.add(name);
		return undefined;
	};

	for (const name of services.keys()) {
		const cycle = findCycle(name, []);
		if (cycle) {
			problemList.addProblem(['services', cycle[0]!, 'depends_on'], `no way back to itself, but ${cycle.join(' needs ')}`);
			for (const member of cycle) {
				visited.add(member);
			}
		}
	}
}

function checkUpstreams({domains, names, upstreams}: ValidParts, problemList: ProblemList): void {
	const seen = {id: new Map<string, number>(), address: new Map<string, number>()};
	for (const upstream of upstreams) {
		for (const key of ['id', 'address'] as const) {
			const other = seen[key].get(upstream[key]);
			if (other !== undefined) {
				problemList.addProblem(['upstreams', upstream.index, key], `one of its own; upstreams[${other + 1}] has this one`);
			}

			seen[key].set(upstream[key], upstream.index);
		}

		if (!names.has(upstream.service)) {
			problemList.addProblem(['upstreams', upstream.index, 'service'], `a service of this text: ${[...names].join(', ')}`);
		}

		if (domains && !domains.has(upstream.domain)) {
			problemList.addProblem(['upstreams', upstream.index, 'domain'], `a domain of deployment.domains: ${[...domains].join(', ')}`);
		}
	}
}

function checkRoleMinimums({services, upstreams}: ValidParts, problemList: ProblemList): void {
	for (const [name, service] of services) {
		const engineCount = upstreams.filter(upstream => upstream.service === name).length;
		for (const key of ['floor_prefill', 'floor_decode'] as const) {
			// The default minimum of 1 must not make a service invalid that has no engines yet.
			if (engineCount > 0 && (service[key] ?? 0) > engineCount) {
				problemList.addProblem(['services', name, key], `at most ${engineCount}, the number of its engines`);
			}
		}
	}
}

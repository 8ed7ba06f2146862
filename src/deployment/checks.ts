import type {ProblemList} from './problems.js';
import {
	applicationSchema, headSchema, modelSchema, upstreamSchema,
} from './wire.js';
import type {RawService} from './wire.js';
import {serviceKind} from './types.js';

type RawUpstream = {readonly place: number; readonly id: string; readonly service: string; readonly domain: string; readonly address: string};

/** The parts of a text that are well-formed by themselves; the checks between parts go over these, so that no fault hides another. */
type Parts = {
	readonly domains: ReadonlySet<string> | undefined;
	readonly names: ReadonlySet<string>;
	readonly services: ReadonlyMap<string, RawService>;
	readonly upstreams: readonly RawUpstream[];
};

/** Checks what one part of the text says of another. */
export function checkRelations(raw: unknown, list: ProblemList): void {
	const parts = collectParts(raw);
	checkDependencies(parts, list);
	checkCycles(parts, list);
	checkUpstreams(parts, list);
	checkFloors(parts, list);
}

function collectParts(raw: unknown): Parts {
	const {deployment, services, upstreams} = (raw ?? {}) as {deployment?: unknown; services?: Record<string, {kind?: unknown}>; upstreams?: unknown[]};
	const head = headSchema.safeParse(deployment);
	const sound = new Map<string, RawService>();
	for (const [name, service] of Object.entries(services ?? {})) {
		const result = service?.kind === serviceKind.model ? modelSchema.safeParse(service) : applicationSchema.safeParse(service);
		if (result.success) {
			sound.set(name, result.data);
		}
	}

	return {
		domains: head.success ? new Set(head.data.domains) : undefined,
		names: new Set(Object.keys(services ?? {})),
		services: sound,
		upstreams: (Array.isArray(upstreams) ? upstreams : []).flatMap((upstream, place) => {
			const result = upstreamSchema.safeParse(upstream);
			return result.success ? [{...result.data, place}] : [];
		}),
	};
}

function checkDependencies({names, services}: Parts, list: ProblemList): void {
	const models = new Map<string, string>();
	for (const [name, service] of services) {
		for (const [place, wanted] of service.depends_on.entries()) {
			if (!names.has(wanted)) {
				list.addProblem(['services', name, 'depends_on', place], `a service of this text: ${[...names].join(', ')}`);
			}
		}

		if (service.model !== undefined) {
			const other = models.get(service.model);
			if (other !== undefined) {
				list.addProblem(['services', name, 'model'], `a model of its own; services.${other} has this one`);
			}

			models.set(service.model, name);
		}
	}
}

function checkCycles({services}: Parts, list: ProblemList): void {
	const done = new Set<string>();
	const findCycle = (name: string, way: readonly string[]): readonly string[] | undefined => {
		if (way.includes(name)) {
			return [...way.slice(way.indexOf(name)), name];
		}

		if (done.has(name)) {
			return undefined;
		}

		for (const wanted of services.get(name)?.depends_on ?? []) {
			const cycle = findCycle(wanted, [...way, name]);
			if (cycle) {
				return cycle;
			}
		}

		done.add(name);
		return undefined;
	};

	for (const name of services.keys()) {
		const cycle = findCycle(name, []);
		if (cycle) {
			list.addProblem(['services', cycle[0]!, 'depends_on'], `no way back to itself, but ${cycle.join(' needs ')}`);
			for (const member of cycle) {
				done.add(member);
			}
		}
	}
}

function checkUpstreams({domains, names, upstreams}: Parts, list: ProblemList): void {
	const seen = {id: new Map<string, number>(), address: new Map<string, number>()};
	for (const upstream of upstreams) {
		for (const key of ['id', 'address'] as const) {
			const other = seen[key].get(upstream[key]);
			if (other !== undefined) {
				list.addProblem(['upstreams', upstream.place, key], `one of its own; upstreams[${other + 1}] has this one`);
			}

			seen[key].set(upstream[key], upstream.place);
		}

		if (!names.has(upstream.service)) {
			list.addProblem(['upstreams', upstream.place, 'service'], `a service of this text: ${[...names].join(', ')}`);
		}

		if (domains && !domains.has(upstream.domain)) {
			list.addProblem(['upstreams', upstream.place, 'domain'], `a domain of deployment.domains: ${[...domains].join(', ')}`);
		}
	}
}

function checkFloors({services, upstreams}: Parts, list: ProblemList): void {
	for (const [name, service] of services) {
		const engines = upstreams.filter(upstream => upstream.service === name).length;
		for (const key of ['floor_prefill', 'floor_decode'] as const) {
			// A service without any engine yet is not refused for the floors that it has by default.
			if (engines > 0 && (service[key] ?? 0) > engines) {
				list.addProblem(['services', name, key], `at most ${engines}, the number of its engines`);
			}
		}
	}
}

import {engineRole, serviceKind} from '../deployment/index.js';
import type {Deployment, EngineRole} from '../deployment/index.js';
import type {EngineState, EngineTarget} from '../upstreams/index.js';
import type {UpstreamRecord} from './record.js';

/** What an upstream should be. */
export type Wanted = {
	/** Why it is to be out of service; absent when it is to serve. */
	readonly out?: 'drained' | 'withdrawn';
	/** What an engine is to be set up as, but for its role. */
	readonly model?: {readonly model: string; readonly version: string; readonly adapters: readonly string[]};
};

/** Computes what the text and the operators want of an upstream. */
export function computeWanted(deployment: Deployment, domain: string, id: string, known: UpstreamRecord): Wanted {
	const upstream = deployment.upstreams.find(upstream => upstream.id === id && upstream.domain === domain);
	const service = deployment.services.find(({name}) => name === upstream?.service);
	if (!upstream || !service) {
		return {out: 'withdrawn'};
	}

	if (known.hold !== undefined) {
		return {out: known.hold};
	}

	if (service.kind !== serviceKind.model) {
		return {};
	}

	return {model: {model: service.model, version: service.version, adapters: service.adapters}};
}

/** Computes the whole target of an engine: the text's model in the wanted role, or in the role that it has. */
export function computeTarget(wanted: Wanted, known: UpstreamRecord, state: EngineState): EngineTarget | undefined {
	const role: EngineRole = known.role ?? known.setup?.role ?? state.role ?? engineRole.mixed;
	return wanted.model && {role, ...wanted.model};
}

/** Asks whether an engine is set up as `target` says. */
export function isSetUp(state: EngineTarget, target: EngineTarget): boolean {
	return state.role === target.role && state.model === target.model && state.version === target.version
		&& isSameSet(state.adapters, target.adapters);
}

function isSameSet(left: readonly string[], right: readonly string[]): boolean {
	return left.length === right.length && left.every(item => right.includes(item));
}

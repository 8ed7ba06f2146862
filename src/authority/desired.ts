import {engineRole, serviceKind} from '../deployment/index.js';
import type {Deployment, EngineRole} from '../deployment/index.js';
import type {EngineState, EngineTarget} from '../upstreams/index.js';
import type {UpstreamRecord} from './record.js';

/** What an upstream should be. */
export type DesiredState = {
	/** Why it is to be out of service; absent when it is to serve. */
	readonly outOfService?: 'drained' | 'withdrawn';
	/** What an engine is to be set up as, but for its role. */
	readonly model?: {readonly model: string; readonly version: string; readonly adapters: readonly string[]};
};

/** Computes what the text and the operators want of an upstream. */
export function computeDesiredState(deployment: Deployment, domain: string, id: string, upstream: UpstreamRecord): DesiredState {
	const configured = deployment.upstreams.find(configured => configured.id === id && configured.domain === domain);
	const service = deployment.services.find(({name}) => name === configured?.service);
	if (!configured || !service) {
		return {outOfService: 'withdrawn'};
	}

	if (upstream.hold !== undefined) {
		return {outOfService: upstream.hold};
	}

	if (service.kind !== serviceKind.model) {
		return {};
	}

	return {model: {model: service.model, version: service.version, adapters: service.adapters}};
}

/** Computes the whole target of an engine: the text's model in the wanted role, or in the role that it has. */
export function computeTarget(desired: DesiredState, upstream: UpstreamRecord, state: EngineState): EngineTarget | undefined {
	const role: EngineRole = upstream.role ?? upstream.setup?.role ?? state.role ?? engineRole.mixed;
	return desired.model && {role, ...desired.model};
}

/** Asks whether an engine is set up as `target` says. */
export function isSetUp(state: EngineTarget, target: EngineTarget): boolean {
	return state.role === target.role && state.model === target.model && state.version === target.version
		&& isSameSet(state.adapters, target.adapters);
}

function isSameSet(left: readonly string[], right: readonly string[]): boolean {
	return left.length === right.length && left.every(item => right.includes(item));
}

import {engineRole, serviceKind} from '../deployment/index.js';
import type {Deployment, EngineRole} from '../deployment/index.js';
import type {EngineState, EngineTarget} from '../upstreams/index.js';
import type {UpstreamRecord} from './record.js';

/** State that an upstream should be in. */
export type DesiredState = {
	/** Why the upstream should be out of service; absent when it should serve. */
	readonly outOfService?: 'drained' | 'withdrawn';
	/** Model, version and adapters that an engine should have; absent for an application. */
	readonly model?: {readonly model: string; readonly version: string; readonly adapters: readonly string[]};
};

/** Computes the desired state of an upstream from the configuration and from what operators have requested. */
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

/** Computes the setup that an engine should have: the configured model, in the required role or else in its present one. */
export function computeTarget(desired: DesiredState, upstream: UpstreamRecord, state: EngineState): EngineTarget | undefined {
	const role: EngineRole = upstream.role ?? upstream.setup?.role ?? state.role ?? engineRole.mixed;
	return desired.model && {role, ...desired.model};
}

/** Whether an engine has the role, model, version and adapters of `target`. */
export function isSetUp(state: EngineTarget, target: EngineTarget): boolean {
	return state.role === target.role && state.model === target.model && state.version === target.version
		&& isSameSet(state.adapters, target.adapters);
}

function isSameSet(left: readonly string[], right: readonly string[]): boolean {
	return left.length === right.length && left.every(item => right.includes(item));
}

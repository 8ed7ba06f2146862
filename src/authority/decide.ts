import {upstreamState} from '../feed/index.js';
import type {UpstreamState} from '../feed/index.js';
import {enginePhase, orderKind} from '../upstreams/index.js';
import type {EngineState, EngineTarget, OrderKind} from '../upstreams/index.js';
import {isServing, orderState} from './record.js';
import type {OrderRecord, UpstreamRecord} from './record.js';
import {computeTarget, isSetUp} from './desired.js';
import type {DesiredState} from './desired.js';

/** The next thing to do for an upstream. */
export type Action =
	| {readonly kind: 'nothing'}
	| {readonly kind: 'wait'; readonly detail: string}
	| {readonly kind: 'settle'; readonly order: OrderRecord}
	| {readonly kind: 'seal'}
	| {readonly kind: 'close'; readonly detail: string}
	| {readonly kind: 'mark'; readonly state: UpstreamState; readonly isDrained: boolean; readonly setup?: EngineTarget; readonly detail: string}
	| {readonly kind: 'repeat'; readonly order: OrderRecord}
	| {readonly kind: 'order'; readonly order: OrderKind; readonly target?: EngineTarget};

/** What the next action for an upstream is decided from. */
export type UpstreamView = {
	readonly upstream: UpstreamRecord;
	readonly desired: DesiredState;
	/** State that the engine reports; `undefined` for an application and for an engine that does not answer. */
	readonly state: EngineState | undefined;
	/** Current fencing number of the domain. */
	readonly fence: number;
	/** What the drain barrier waits for; see `listDrainBlockers`. */
	readonly drainBlockers: readonly string[];
	/** Role minimum that a planned closing would violate; `undefined` for none. */
	readonly violatedMinimum: string | undefined;
};

const noAction: Action = {kind: 'nothing'};

/** Decides the next action for an upstream, without I/O. An open order is settled before anything else. */
export function decideAction(view: UpstreamView): Action {
	const {upstream, state, fence} = view;
	if (!upstream.isEngine) {
		return decideForApplication(view);
	}

	if (upstream.order && (upstream.order.state === orderState.intended || isOnlySendApplied(upstream, state))) {
		return state ? {kind: 'settle', order: upstream.order} : {kind: 'wait', detail: 'the engine does not answer'};
	}

	if (!state) {
		return decideForUnresponsiveEngine(view);
	}

	if (state.phase === enginePhase.away) {
		return isServing(upstream) ? createMark(upstreamState.away, false, 'the engine is away') : {kind: 'wait', detail: 'the engine is away'};
	}

	if (upstream.isFenced && state.fence < fence) {
		return {kind: 'seal'};
	}

	return view.desired.outOfService ? decideOutOfService(view, state) : decideInService(view, state);
}

function decideForApplication(view: UpstreamView): Action {
	const {upstream, desired, drainBlockers} = view;
	if (!desired.outOfService) {
		return isServing(upstream) ? noAction : createMark(upstreamState.serving, false, 'takes work');
	}

	if (isServing(upstream)) {
		return decideClosing(view, desired.outOfService);
	}

	if (upstream.isDrained) {
		return createOutOfServiceMark(view);
	}

	return drainBlockers.length > 0 ? createWait(drainBlockers) : createOutOfServiceMark(view);
}

/** An engine that does not answer serves nothing, so no role minimum keeps it in service and it needs no drain order. Any other change waits until it answers. */
function decideForUnresponsiveEngine(view: UpstreamView): Action {
	const {upstream, desired, drainBlockers} = view;
	if (!desired.outOfService) {
		return {kind: 'wait', detail: 'the engine does not answer'};
	}

	if (isServing(upstream)) {
		return {kind: 'close', detail: `${desired.outOfService}, does not answer`};
	}

	if (upstream.isDrained) {
		return createOutOfServiceMark(view);
	}

	return drainBlockers.length > 0 ? createWait(drainBlockers) : createOutOfServiceMark(view);
}

function decideOutOfService(view: UpstreamView, state: EngineState): Action {
	const {upstream, desired} = view;
	if (isServing(upstream)) {
		return decideClosing(view, desired.outOfService ?? 'out');
	}

	if (upstream.isDrained && state.phase === enginePhase.draining) {
		return createOutOfServiceMark(view);
	}

	return decideDraining(view, state) ?? createOutOfServiceMark(view);
}

function decideInService(view: UpstreamView, state: EngineState): Action {
	const {upstream, desired} = view;
	const target = computeTarget(desired, upstream, state);
	if (target && (!isSetUp(state, target) || hasUnappliedConfigure(upstream, state))) {
		return decideReconfiguration(view, state, target);
	}

	if (state.phase === enginePhase.draining) {
		return decideResume(upstream);
	}

	if (isServing(upstream) && upstream.setup && target && isSetUp(upstream.setup, target)) {
		return noAction;
	}

	return createMark(upstreamState.serving, false, `takes work as ${state.role}`, extractSetup(state));
}

function decideResume({order, senders}: UpstreamRecord): Action {
	if (senders.length === 0) {
		return {kind: 'order', order: orderKind.resume};
	}

	return order?.kind === orderKind.resume ? {kind: 'repeat', order} : createWait(senders);
}

function decideReconfiguration(view: UpstreamView, state: EngineState, target: EngineTarget): Action {
	const {upstream} = view;
	const isRepeat = hasUnappliedConfigure(upstream, state);
	if (upstream.senders.length > 0 && !isRepeat) {
		return decideWhileSendsOpen(upstream, state);
	}

	if (isServing(upstream)) {
		const isPlanned = upstream.setup !== undefined && isSetUp(upstream.setup, state);
		return decideClosing(isPlanned ? view : {...view, violatedMinimum: undefined}, `to become ${target.role} ${target.model} ${target.version}`);
	}

	if (isRepeat && upstream.order) {
		return decideRepeat(view, state, upstream.order);
	}

	return decideDraining(view, state) ?? {kind: 'order', order: orderKind.configure, target};
}

/** While an earlier send may still arrive, the engine keeps serving in its present role. */
function decideWhileSendsOpen(upstream: UpstreamRecord, state: EngineState): Action {
	if (!isServing(upstream) && state.phase === enginePhase.ready && upstream.setup && isSetUp(upstream.setup, state)) {
		return createMark(upstreamState.serving, false, 'serves on while sends may still arrive', extractSetup(state));
	}

	return createWait(upstream.senders);
}

function decideRepeat({drainBlockers}: UpstreamView, state: EngineState, order: OrderRecord): Action {
	if (drainBlockers.length > 0) {
		return createWait(drainBlockers);
	}

	return state.running > 0 ? {kind: 'wait', detail: `${state.running} running at the engine`} : {kind: 'repeat', order};
}

/** Decides how to empty a closed engine; `undefined` once it has drained. */
function decideDraining({upstream, drainBlockers}: UpstreamView, state: EngineState): Action | undefined {
	if (drainBlockers.length > 0) {
		return createWait(drainBlockers);
	}

	if (state.phase === enginePhase.ready) {
		return upstream.senders.length > 0 ? createWait(upstream.senders) : {kind: 'order', order: orderKind.drain};
	}

	return state.running > 0 ? {kind: 'wait', detail: `${state.running} running at the engine`} : undefined;
}

/**
Whether a `configure` order that is not the engine's last one may still arrive at an unfenced engine. The order is then sent
again before the engine serves: a late copy of an engine's last order changes nothing and aborts no request.
*/
function hasUnappliedConfigure(upstream: UpstreamRecord, state: EngineState): boolean {
	return upstream.senders.length > 0 && upstream.order?.kind === orderKind.configure && state.lastOrder !== upstream.order.id;
}

/** Whether the order's only send has taken effect, so that no other copy of it can arrive. */
function isOnlySendApplied({order, senders}: UpstreamRecord, state: EngineState | undefined): boolean {
	return senders.length > 0 && order?.sends === 1 && state?.lastOrder === order.id;
}

function decideClosing({violatedMinimum}: UpstreamView, detail: string): Action {
	return violatedMinimum === undefined ? {kind: 'close', detail} : {kind: 'wait', detail: violatedMinimum};
}

function createOutOfServiceMark({upstream, desired}: UpstreamView): Action {
	const state = desired.outOfService === 'withdrawn' ? upstreamState.withdrawn : upstreamState.closing;
	return upstream.isDrained && upstream.state === state ? noAction : createMark(state, true, desired.outOfService ?? 'out');
}

function createMark(state: UpstreamState, isDrained: boolean, detail: string, setup?: EngineTarget): Action {
	return {
		kind: 'mark', state, isDrained, setup, detail,
	};
}

function createWait(names: readonly string[]): Action {
	return {kind: 'wait', detail: `waiting for ${names.join(', ')}`};
}

function extractSetup({role, model, version, adapters}: EngineState): EngineTarget {
	return {
		role, model, version, adapters,
	};
}

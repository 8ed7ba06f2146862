import {upstreamState} from '../feed/index.js';
import type {UpstreamState} from '../feed/index.js';
import {enginePhase, orderKind} from '../upstreams/index.js';
import type {EngineState, EngineTarget, OrderKind} from '../upstreams/index.js';
import {isServing, orderState} from './record.js';
import type {OrderNote, UpstreamRecord} from './record.js';
import {computeTarget, isSetUp} from './wanted.js';
import type {Wanted} from './wanted.js';

/** One thing to do next for an upstream. */
export type Action =
	| {readonly kind: 'nothing'}
	| {readonly kind: 'wait'; readonly detail: string}
	| {readonly kind: 'settle'; readonly order: OrderNote}
	| {readonly kind: 'seal'}
	| {readonly kind: 'close'; readonly detail: string}
	| {readonly kind: 'mark'; readonly state: UpstreamState; readonly isDrained: boolean; readonly setup?: EngineTarget; readonly detail: string}
	| {readonly kind: 'repeat'; readonly order: OrderNote}
	| {readonly kind: 'order'; readonly order: OrderKind; readonly target?: EngineTarget};

/** What the next action for an upstream is decided from. */
export type UpstreamView = {
	readonly known: UpstreamRecord;
	readonly wanted: Wanted;
	/** The engine's own state; `undefined` for a service and for an engine that does not answer. */
	readonly state: EngineState | undefined;
	/** The domain's fence. */
	readonly fence: number;
	/** For whom the drain barrier waits. */
	readonly waiting: readonly string[];
	/** Which floor forbids closing by plan. */
	readonly floor: string | undefined;
};

const nothing: Action = {kind: 'nothing'};

/** Decides the next action for an upstream, from given facts alone. */
export function decideAction(view: UpstreamView): Action {
	const {known, state, fence} = view;
	if (!known.isEngine) {
		return decideService(view);
	}

	if (known.order && (known.order.state === orderState.intended || isOnlySendSeen(known, state))) {
		return state ? {kind: 'settle', order: known.order} : {kind: 'wait', detail: 'the engine does not answer'};
	}

	if (!state) {
		return decideSilent(view);
	}

	if (state.phase === enginePhase.away) {
		return isServing(known) ? createMark(upstreamState.away, false, 'the engine is away') : {kind: 'wait', detail: 'the engine is away'};
	}

	if (known.isFenced && state.fence < fence) {
		return {kind: 'seal'};
	}

	return view.wanted.out ? decideOut(view, state) : decideIn(view, state);
}

function decideService(view: UpstreamView): Action {
	const {known, wanted, waiting} = view;
	if (!wanted.out) {
		return isServing(known) ? nothing : createMark(upstreamState.serving, false, 'takes work');
	}

	if (isServing(known)) {
		return closeUpstream(view, wanted.out);
	}

	if (known.isDrained) {
		return markOut(view);
	}

	return waiting.length > 0 ? createWait(waiting) : markOut(view);
}

/** An engine that does not answer takes no work from a plan, and needs no order to be taken out. */
function decideSilent(view: UpstreamView): Action {
	const {known, wanted, waiting} = view;
	if (!wanted.out) {
		return {kind: 'wait', detail: 'the engine does not answer'};
	}

	if (isServing(known)) {
		return {kind: 'close', detail: `${wanted.out}, does not answer`};
	}

	if (known.isDrained) {
		return markOut(view);
	}

	return waiting.length > 0 ? createWait(waiting) : markOut(view);
}

function decideOut(view: UpstreamView, state: EngineState): Action {
	const {known, wanted} = view;
	if (isServing(known)) {
		return closeUpstream(view, wanted.out ?? 'out');
	}

	if (known.isDrained && state.phase === enginePhase.draining) {
		return markOut(view);
	}

	return decideEmpty(view, state) ?? markOut(view);
}

function decideIn(view: UpstreamView, state: EngineState): Action {
	const {known, wanted} = view;
	const target = computeTarget(wanted, known, state);
	if (target && (!isSetUp(state, target) || hasOldClaim(known, state))) {
		return decideChange(view, state, target);
	}

	if (state.phase === enginePhase.draining) {
		return decideResume(known);
	}

	if (isServing(known) && known.setup && target && isSetUp(known.setup, target)) {
		return nothing;
	}

	return createMark(upstreamState.serving, false, `takes work as ${state.role}`, pickSetup(state));
}

function decideResume({order, senders}: UpstreamRecord): Action {
	if (senders.length === 0) {
		return {kind: 'order', order: orderKind.resume};
	}

	return order?.kind === orderKind.resume ? {kind: 'repeat', order} : createWait(senders);
}

function decideChange(view: UpstreamView, state: EngineState, target: EngineTarget): Action {
	const {known} = view;
	const isRepeat = hasOldClaim(known, state);
	if (known.senders.length > 0 && !isRepeat) {
		return serveMeanwhile(known, state);
	}

	if (isServing(known)) {
		const isPlanned = known.setup !== undefined && isSetUp(known.setup, state);
		return closeUpstream(isPlanned ? view : {...view, floor: undefined}, `to become ${target.role} ${target.model} ${target.version}`);
	}

	if (isRepeat && known.order) {
		return decideRepeat(view, state, known.order);
	}

	return decideEmpty(view, state) ?? {kind: 'order', order: orderKind.configure, target};
}

/** While an earlier send may still arrive, the engine serves in the role it has. */
function serveMeanwhile(known: UpstreamRecord, state: EngineState): Action {
	if (!isServing(known) && state.phase === enginePhase.ready && known.setup && isSetUp(known.setup, state)) {
		return createMark(upstreamState.serving, false, 'serves on while sends may still arrive', pickSetup(state));
	}

	return createWait(known.senders);
}

function decideRepeat({waiting}: UpstreamView, state: EngineState, order: OrderNote): Action {
	if (waiting.length > 0) {
		return createWait(waiting);
	}

	return state.running > 0 ? {kind: 'wait', detail: `${state.running} running at the engine`} : {kind: 'repeat', order};
}

/** Brings a closed engine to rest; `undefined` once it is. */
function decideEmpty({known, waiting}: UpstreamView, state: EngineState): Action | undefined {
	if (waiting.length > 0) {
		return createWait(waiting);
	}

	if (state.phase === enginePhase.ready) {
		return known.senders.length > 0 ? createWait(known.senders) : {kind: 'order', order: orderKind.drain};
	}

	return state.running > 0 ? {kind: 'wait', detail: `${state.running} running at the engine`} : undefined;
}

/**
An unfenced engine to which a `configure` may still arrive serves only with that order as its last one:
a repeat of it then changes nothing and cuts nothing.
*/
function hasOldClaim(known: UpstreamRecord, state: EngineState): boolean {
	return known.senders.length > 0 && known.order?.kind === orderKind.configure && state.lastOrder !== known.order.id;
}

/** The order's one copy has arrived, so no send of it is left. */
function isOnlySendSeen({order, senders}: UpstreamRecord, state: EngineState | undefined): boolean {
	return senders.length > 0 && order?.sends === 1 && state?.lastOrder === order.id;
}

function closeUpstream({floor}: UpstreamView, detail: string): Action {
	return floor === undefined ? {kind: 'close', detail} : {kind: 'wait', detail: floor};
}

function markOut({known, wanted}: UpstreamView): Action {
	const state = wanted.out === 'withdrawn' ? upstreamState.withdrawn : upstreamState.closing;
	return known.isDrained && known.state === state ? nothing : createMark(state, true, wanted.out ?? 'out');
}

function createMark(state: UpstreamState, isDrained: boolean, detail: string, setup?: EngineTarget): Action {
	return {
		kind: 'mark', state, isDrained, setup, detail,
	};
}

function createWait(names: readonly string[]): Action {
	return {kind: 'wait', detail: `waiting for ${names.join(', ')}`};
}

function pickSetup({role, model, version, adapters}: EngineState): EngineTarget {
	return {
		role, model, version, adapters,
	};
}

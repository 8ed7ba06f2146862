import {NotRunError, OrderRefusedError, UnknownOutcomeError} from '../errors/index.js';
import {upstreamState} from '../feed/index.js';
import {callStep} from '../procedures/index.js';
import type {Procedure} from '../procedures/index.js';
import {orderKind} from '../upstreams/index.js';
import type {EngineState} from '../upstreams/index.js';
import {decideAction} from './decide.js';
import type {Action, UpstreamView} from './decide.js';
import {
	runOrder, sendOrderAgain, applySeal, settleOrder,
} from './orders.js';
import {removeSenders, updateUpstream} from './record.js';
import type {Subject, TermContext} from './termcontext.js';

/** Result of one pass over an upstream. */
export type PassResult = {
	/** Whether the upstream is in its desired state. */
	readonly isSteady: boolean;
	/** What the upstream waits for; empty for nothing. */
	readonly waitsFor: string;
};

/** The part of an {@link UpstreamView} that is read neither from the engine nor from the domain record. */
export type UpstreamInputs = Omit<UpstreamView, 'upstream' | 'state' | 'fence'>;

const steady: PassResult = {isSteady: true, waitsFor: ''};
const unfinished: PassResult = {isSteady: false, waitsFor: ''};

/** Runs the next single action that brings an upstream nearer to its desired state. */
export function * advanceUpstream(context: TermContext, id: string, inputs: UpstreamInputs): Procedure<PassResult> {
	const recorded = context.recordStore.record.upstreams[id];
	if (!recorded) {
		return steady;
	}

	const state = recorded.isEngine ? yield * readEngine(context, {id, upstream: recorded}) : undefined;
	const upstream = removeSenders(recorded, context.sendTracker.listEnded());
	const action = decideAction({
		...inputs, upstream, state, fence: context.recordStore.record.fence,
	});
	return yield * runAction(context, {id, upstream}, action);
}

function * readEngine(context: TermContext, {id, upstream}: Subject): Procedure<EngineState | undefined> {
	try {
		const state = yield * callStep('read the engine', async () => context.getEngine(id, upstream).readState());
		context.sendTracker.onIncarnation(id, state.incarnation);
		return state;
	} catch (error) {
		if (error instanceof NotRunError || error instanceof UnknownOutcomeError || error instanceof OrderRefusedError) {
			return undefined;
		}

		throw error;
	}
}

function * runAction(context: TermContext, subject: Subject, action: Action): Procedure<PassResult> {
	const {id} = subject;
	switch (action.kind) {
		case 'nothing': {
			return steady;
		}

		case 'wait': {
			return {isSteady: false, waitsFor: action.detail};
		}

		case 'settle': {
			const {isSettled, detail} = yield * settleOrder(context, subject, action.order);
			if (!isSettled) {
				return {isSteady: false, waitsFor: detail};
			}

			context.recordUpstreamEvent(id, {kind: 'settled', detail: `${action.order.kind} ${action.order.id}: ${detail}`});
			return unfinished;
		}

		case 'seal': {
			yield * applySeal(context, subject);
			return unfinished;
		}

		case 'repeat': {
			context.recordUpstreamEvent(id, {kind: 'order', detail: `${action.order.kind} ${action.order.id} once more`});
			yield * sendOrderAgain(context, subject, action.order);
			return unfinished;
		}

		case 'order': {
			context.recordUpstreamEvent(id, {kind: 'order', detail: formatOrder(action)});
			yield * runOrder(context, subject, {
				kind: action.order, target: action.target, state: action.order === orderKind.configure ? upstreamState.away : undefined,
			});
			return unfinished;
		}

		case 'close':
		case 'mark': {
			yield * writeState(context, subject, action);
			return unfinished;
		}
	}
}

function * writeState(context: TermContext, {id}: Subject, action: Action & {readonly kind: 'close' | 'mark'}): Procedure<void> {
	const change = action.kind === 'close' ? {state: upstreamState.closing, isDrained: false, setup: undefined} : action;
	yield * callStep(`write the state ${change.state}`, async () => context.recordStore.update(record => updateUpstream(record, id, upstream => ({
		...upstream, state: change.state, isDrained: change.isDrained, setup: change.setup ?? upstream.setup,
	}))));
	context.recordUpstreamEvent(id, {kind: change.state, detail: action.detail});
}

function formatOrder({order, target}: Action & {readonly kind: 'order'}): string {
	return target ? `${order} as ${target.role} ${target.model} ${target.version}` : order;
}

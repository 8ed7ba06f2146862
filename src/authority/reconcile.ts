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
import type {Subject, Term} from './term.js';

/** What one pass over an upstream came to. */
export type PassResult = {
	/** Nothing is left to do for now. */
	readonly isSteady: boolean;
	/** What it waits for, empty for nothing. */
	readonly waitsFor: string;
};

/** The part of the view that is not read from the engine or the record. */
export type Surroundings = Omit<UpstreamView, 'known' | 'state' | 'fence'>;

const steady: PassResult = {isSteady: true, waitsFor: ''};
const goOn: PassResult = {isSteady: false, waitsFor: ''};

/** Brings one upstream a single action nearer to what it should be. */
export function * advanceUpstream(term: Term, id: string, surroundings: Surroundings): Procedure<PassResult> {
	const recorded = term.book.record.upstreams[id];
	if (!recorded) {
		return steady;
	}

	const state = recorded.isEngine ? yield * readEngine(term, {id, known: recorded}) : undefined;
	const known = removeSenders(recorded, term.claims.listEnded());
	const action = decideAction({
		...surroundings, known, state, fence: term.book.record.fence,
	});
	return yield * runAction(term, {id, known}, action);
}

function * readEngine(term: Term, {id, known}: Subject): Procedure<EngineState | undefined> {
	try {
		const state = yield * callStep('read the engine', async () => term.getEngine(id, known).readState());
		term.claims.onIncarnation(id, state.incarnation);
		return state;
	} catch (error) {
		if (error instanceof NotRunError || error instanceof UnknownOutcomeError || error instanceof OrderRefusedError) {
			return undefined;
		}

		throw error;
	}
}

function * runAction(term: Term, subject: Subject, action: Action): Procedure<PassResult> {
	const {id} = subject;
	switch (action.kind) {
		case 'nothing': {
			return steady;
		}

		case 'wait': {
			return {isSteady: false, waitsFor: action.detail};
		}

		case 'settle': {
			const {isSettled, detail} = yield * settleOrder(term, subject, action.order);
			if (!isSettled) {
				return {isSteady: false, waitsFor: detail};
			}

			term.recordUpstream(id, {kind: 'settled', detail: `${action.order.kind} ${action.order.id}: ${detail}`});
			return goOn;
		}

		case 'seal': {
			yield * applySeal(term, subject);
			return goOn;
		}

		case 'repeat': {
			term.recordUpstream(id, {kind: 'order', detail: `${action.order.kind} ${action.order.id} once more`});
			yield * sendOrderAgain(term, subject, action.order);
			return goOn;
		}

		case 'order': {
			term.recordUpstream(id, {kind: 'order', detail: formatOrder(action)});
			yield * runOrder(term, subject, {
				kind: action.order, target: action.target, state: action.order === orderKind.configure ? upstreamState.away : undefined,
			});
			return goOn;
		}

		case 'close':
		case 'mark': {
			yield * writeState(term, subject, action);
			return goOn;
		}
	}
}

function * writeState(term: Term, {id}: Subject, action: Action & {readonly kind: 'close' | 'mark'}): Procedure<void> {
	const change = action.kind === 'close' ? {state: upstreamState.closing, isDrained: false, setup: undefined} : action;
	yield * callStep(`write the state ${change.state}`, async () => term.book.update(record => updateUpstream(record, id, known => ({
		...known, state: change.state, isDrained: change.isDrained, setup: change.setup ?? known.setup,
	}))));
	term.recordUpstream(id, {kind: change.state, detail: action.detail});
}

function formatOrder({order, target}: Action & {readonly kind: 'order'}): string {
	return target ? `${order} as ${target.role} ${target.model} ${target.version}` : order;
}

import {
	AuthorityLostError, NotRunError, OrderRefusedError, StaleFenceError,
} from '../errors/index.js';
import type {UpstreamState} from '../feed/index.js';
import {callStep} from '../procedures/index.js';
import type {Procedure} from '../procedures/index.js';
import {enginePhase, orderKind} from '../upstreams/index.js';
import type {EngineState, EngineTarget, OrderKind} from '../upstreams/index.js';
import {
	addIntention, addRepeat, confirmOrder, orderState, removeOrder, removeSenders, updateUpstream,
} from './record.js';
import type {OrderNote, UpstreamRecord} from './record.js';
import type {Subject, Term} from './term.js';
import {isSetUp} from './wanted.js';

/** A new order to one engine; `state` is written with its intention. */
export type NewOrder = {readonly kind: OrderKind; readonly target?: EngineTarget; readonly state?: UpstreamState};

type Attempt = {readonly order: OrderNote; readonly send: string | undefined};

/**
Gives an engine a new order: the intention is written, the authority checked, the order sent and confirmed from the
engine's own state. A failure after the intention leaves it open, for {@link settleOrder}.
*/
export function * runOrder(term: Term, subject: Subject, wanted: NewOrder): Procedure<void> {
	const {id, known} = subject;
	const {kind, target} = wanted;
	const order: OrderNote = {
		id: term.createId(), fence: term.book.record.fence, kind, target, state: orderState.intended, sends: 1,
	};
	const send = known.isFenced ? undefined : term.claims.open(id);
	try {
		yield * callStep(`write the intention to ${kind}`, async () => term.book.update(record => updateUpstream(record, id, before => ({
			...addIntention(removeSenders(before, term.claims.listEnded()), order, send),
			state: wanted.state ?? before.state,
		}))));
	} catch (error) {
		confirmUnsent(term, send);
		throw error;
	}

	yield * sendIntended(term, subject, {order, send});
}

/** Sends the open order of an unfenced engine once more, unchanged. */
export function * sendOrderAgain(term: Term, subject: Subject, order: OrderNote): Procedure<void> {
	const send = term.claims.open(subject.id);
	try {
		yield * callStep(`write the repeat of ${order.kind}`, async () => term.book.update(record => updateUpstream(record, subject.id, known => addRepeat(known, order.id, send))));
	} catch (error) {
		confirmUnsent(term, send);
		throw error;
	}

	yield * sendIntended(term, subject, {order, send});
}

/** Makes a fenced engine refuse every order with an older fencing number. */
export function * applySeal(term: Term, {id, known}: Subject): Procedure<void> {
	const {fence} = term.book.record;
	yield * callStep('check the authority to seal', () => {
		term.checkHeld();
	});
	yield * callStep('seal the engine', async () => term.getEngine(id, known).sendOrder({id: `seal-${fence}`, fence, kind: orderKind.seal}));
	term.countOrder('sealed');
}

/** How an attempt to settle an order ended. */
export type Settlement = {readonly isSettled: boolean; readonly detail: string};

/** Brings an open order to its end: its effect is seen at the engine, or it can have none any more, or it has to be sent again. */
export function * settleOrder(term: Term, subject: Subject, order: OrderNote): Procedure<Settlement> {
	const before = yield * readToSettle(term, subject);
	if (before.phase === enginePhase.away) {
		return {isSettled: false, detail: 'the engine is away'};
	}

	let state = before;
	if (subject.known.isFenced && !term.answered.has(order.id)) {
		yield * refuseLateSends(term, subject, order);
		state = yield * readToSettle(term, subject);
	}

	if (state.phase === enginePhase.away) {
		return {isSettled: false, detail: 'the engine is away'};
	}

	const hasEffect = isTaken(order, before) || isTaken(order, state) || (subject.known.isFenced && isAsOrdered(order, state));
	const detail = hasEffect ? yield * writeConfirmed(term, subject, order) : yield * settleUntaken(term, subject, order);
	return {isSettled: true, detail};
}

/** Asks whether the engine's own state names the order as the last that took effect. */
export function isTaken(order: OrderNote, state: EngineState): boolean {
	return state.lastOrder === order.id;
}

function isAsOrdered({kind, target}: OrderNote, state: EngineState): boolean {
	if (kind === orderKind.configure) {
		return target !== undefined && isSetUp(state, target);
	}

	return state.phase === (kind === orderKind.drain ? enginePhase.draining : enginePhase.ready);
}

function * readToSettle(term: Term, {id, known}: Subject): Procedure<EngineState> {
	const state = yield * callStep('read the engine to settle', async () => term.getEngine(id, known).readState());
	term.claims.onIncarnation(id, state.incarnation);
	return state;
}

function * sendIntended(term: Term, subject: Subject, {order, send}: Attempt): Procedure<void> {
	const engine = term.getEngine(subject.id, subject.known);
	const {
		id, fence, kind, target,
	} = order;
	let isSent = false;
	try {
		yield * callStep(`check the authority to ${kind}`, () => {
			term.checkHeld();
		});
		yield * callStep(`send ${kind}`, async () => {
			isSent = true;
			await engine.sendOrder({
				id, fence, kind, target,
			});
		});
	} catch (error) {
		onSendFailed(term, send, isSent ? error : new NotRunError('the order was not sent', {cause: error}));
		yield * forgetRefused(term, subject, {order, send}, isSent ? error : undefined);
		throw error;
	}

	onSent(term, {order, send});
	const state = yield * callStep(`read the engine after ${kind}`, async () => engine.readState());
	if (isTaken(order, state) && state.phase !== enginePhase.away) {
		yield * writeConfirmed(term, subject, order);
	}
}

function onSent(term: Term, {order, send}: Attempt): void {
	term.answered.add(order.id);
	term.countOrder('answered');
	if (send !== undefined) {
		term.claims.confirm(send);
	}
}

function onSendFailed(term: Term, send: string | undefined, error: unknown): void {
	term.countOrder(error instanceof Error ? error.name : 'failed');
	if (send !== undefined) {
		term.claims.confirm(send, error);
	}

	if (error instanceof StaleFenceError) {
		term.book.close();
		throw new AuthorityLostError('an engine has seen a higher fencing number', {cause: error});
	}
}

/** An order that never left, or that the engine refused, is taken out of the record. */
function * forgetRefused(term: Term, {id}: Subject, {order}: Attempt, error: unknown): Procedure<void> {
	const isOver = error instanceof NotRunError || error instanceof OrderRefusedError;
	if (isOver && order.sends === 1) {
		yield * callStep('write the refusal', async () => term.book.update(record => updateUpstream(record, id, known => forgetOrder(term, known, order))));
	}
}

function * refuseLateSends(term: Term, subject: Subject, order: OrderNote): Procedure<void> {
	if (order.fence >= term.book.record.fence) {
		// An answer of this very term was lost: only a higher fence keeps a late copy of that order out.
		yield * callStep('raise the fence', async () => term.book.update(record => ({...record, fence: record.fence + 1})));
	}

	yield * applySeal(term, subject);
}

function * writeConfirmed(term: Term, {id}: Subject, order: OrderNote): Procedure<string> {
	yield * callStep('write the confirmation', async () => term.book.update(record => updateUpstream(record, id, known => {
		// One send and its effect seen: there is no other copy that could still arrive.
		const isOnly = known.order?.id === order.id && known.order.sends === 1;
		return confirmOrder(known, order.id, isOnly ? new Set(known.senders) : term.claims.listEnded());
	})));
	term.countOrder('confirmed');
	return 'confirmed';
}

function * settleUntaken(term: Term, subject: Subject, order: OrderNote): Procedure<string> {
	const {id, known} = subject;
	const open = removeSenders(known, term.claims.listEnded()).senders;
	if (known.isFenced || open.length === 0) {
		yield * callStep('write that the order had no effect', async () => term.book.update(record => updateUpstream(record, id, before => forgetOrder(term, before, order))));
		term.countOrder('dropped');
		return 'had no effect';
	}

	yield * callStep('write that the order stays open', async () => term.book.update(record => updateUpstream(record, id, before => confirmOrder(before, order.id, term.claims.listEnded()))));
	return `sends of ${open.join(', ')} may still arrive`;
}

function forgetOrder(term: Term, known: UpstreamRecord, order: OrderNote): UpstreamRecord {
	return removeOrder(removeSenders(known, term.claims.listEnded()), order.id);
}

function confirmUnsent(term: Term, send: string | undefined): void {
	if (send !== undefined) {
		term.claims.confirm(send, new NotRunError('the order was not sent'));
	}
}

/** Asks whether an upstream's record still has an open order. */
export function hasOpenOrder(known: UpstreamRecord): boolean {
	return known.order?.state === orderState.intended;
}

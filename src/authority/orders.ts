import {
	AuthorityLostError, NotRunError, OrderRefusedError, StaleFenceError,
} from '../errors/index.js';
import type {UpstreamState} from '../feed/index.js';
import {callStep} from '../procedures/index.js';
import type {Procedure} from '../procedures/index.js';
import {enginePhase, orderKind} from '../upstreams/index.js';
import type {
	EngineState, EngineTarget, OrderConnection, OrderKind,
} from '../upstreams/index.js';
import {
	addIntention, addRepeat, confirmOrder, orderState, removeOrder, removeSenders, updateUpstream,
} from './record.js';
import type {OrderRecord, UpstreamRecord} from './record.js';
import type {Subject, TermContext} from './termcontext.js';
import {isSetUp} from './desired.js';

/** A new order to an engine. `state` is the new state of the upstream, written together with the intention; absent to keep the state. */
export type NewOrder = {readonly kind: OrderKind; readonly target?: EngineTarget; readonly state?: UpstreamState};

/** One send of an order; `sendId` is `undefined` for a fenced engine, whose sends are not tracked. */
type Attempt = {readonly order: OrderRecord; readonly sendId: string | undefined};

/**
Sends an engine a new order: writes the intention to the domain record, checks the authority, sends the order and confirms
it from the state that the engine reports. A failure after the intention was written leaves the order open, for
{@link settleOrder}.
*/
export function * runOrder(context: TermContext, subject: Subject, newOrder: NewOrder): Procedure<void> {
	const {id, upstream} = subject;
	const {kind, target} = newOrder;
	const order: OrderRecord = {
		id: context.createId(), fence: context.recordStore.record.fence, kind, target, state: orderState.intended, sends: 1,
	};
	const sendId = upstream.isFenced ? undefined : context.sendTracker.register(id);
	try {
		yield * callStep(`write the intention to ${kind}`, async () => context.recordStore.update(record => updateUpstream(record, id, before => ({
			...addIntention(removeSenders(before, context.sendTracker.listEnded()), order, sendId),
			state: newOrder.state ?? before.state,
		}))));
	} catch (error) {
		recordNotSent(context, sendId);
		throw error;
	}

	yield * sendIntended(context, subject, {order, sendId});
}

/** Sends the last order of an unfenced engine again, unchanged. */
export function * sendOrderAgain(context: TermContext, subject: Subject, order: OrderRecord): Procedure<void> {
	const sendId = context.sendTracker.register(subject.id);
	try {
		yield * callStep(`write the repeat of ${order.kind}`, async () => context.recordStore.update(record => updateUpstream(record, subject.id, upstream => addRepeat(upstream, order.id, sendId))));
	} catch (error) {
		recordNotSent(context, sendId);
		throw error;
	}

	yield * sendIntended(context, subject, {order, sendId});
}

/** Makes a fenced engine refuse every order that has a lower fencing number than the domain now has. */
export function * applySeal(context: TermContext, {id, upstream}: Subject): Procedure<void> {
	const {fence} = context.recordStore.record;
	const connection = yield * connectAuthorized(context, {id, upstream}, orderKind.seal);
	try {
		yield * callStep('seal the engine', async () => connection.send({id: `seal-${fence}`, fence, kind: orderKind.seal}));
	} finally {
		connection.close();
	}

	context.countOrder('sealed');
}

/** Result of an attempt to settle an order. */
export type Settlement = {readonly isSettled: boolean; readonly detail: string};

/** Settles an open order: confirms it if it took effect, removes it if it can no longer take effect, and otherwise records that it may have to be sent again. */
export function * settleOrder(context: TermContext, subject: Subject, order: OrderRecord): Procedure<Settlement> {
	const before = yield * readEngineState(context, subject);
	if (before.phase === enginePhase.away) {
		return {isSettled: false, detail: 'the engine is away'};
	}

	let state = before;
	if (subject.upstream.isFenced && !context.answeredOrders.has(order.id)) {
		yield * refuseLateSends(context, subject, order);
		state = yield * readEngineState(context, subject);
	}

	if (state.phase === enginePhase.away) {
		return {isSettled: false, detail: 'the engine is away'};
	}

	const hasEffect = hasTakenEffect(order, before) || hasTakenEffect(order, state) || (subject.upstream.isFenced && isInOrderedState(order, state));
	const detail = hasEffect ? yield * writeConfirmation(context, subject, order) : yield * settleWithoutEffect(context, subject, order);
	return {isSettled: true, detail};
}

/** Whether the engine reports the order as the last one that took effect. */
export function hasTakenEffect(order: OrderRecord, state: EngineState): boolean {
	return state.lastOrder === order.id;
}

function isInOrderedState({kind, target}: OrderRecord, state: EngineState): boolean {
	if (kind === orderKind.configure) {
		return target !== undefined && isSetUp(state, target);
	}

	return state.phase === (kind === orderKind.drain ? enginePhase.draining : enginePhase.ready);
}

function * readEngineState(context: TermContext, {id, upstream}: Subject): Procedure<EngineState> {
	const state = yield * callStep('read the engine to settle', async () => context.getEngine(id, upstream).readState());
	context.sendTracker.onIncarnation(id, state.incarnation);
	return state;
}

/**
Opens a connection to an engine and then checks the authority. If this process is frozen after the check, the order still goes to the process that accepted the
connection: an engine that has restarted meanwhile knows no fencing number yet and would take it.
*/
function * connectAuthorized(context: TermContext, {id, upstream}: Subject, kind: OrderKind): Procedure<OrderConnection> {
	return yield * callStep(`check the authority to ${kind}`, async () => {
		const connection = await context.getEngine(id, upstream).openOrderConnection();
		try {
			context.checkHeld();
		} catch (error) {
			connection.close();
			throw error;
		}

		return connection;
	});
}

function * sendIntended(context: TermContext, subject: Subject, {order, sendId}: Attempt): Procedure<void> {
	const engine = context.getEngine(subject.id, subject.upstream);
	const {
		id, fence, kind, target,
	} = order;
	let isSent = false;
	let connection: OrderConnection | undefined;
	try {
		const opened = yield * connectAuthorized(context, subject, kind);
		connection = opened;
		yield * callStep(`send ${kind}`, async () => {
			isSent = true;
			await opened.send({
				id, fence, kind, target,
			});
		});
	} catch (error) {
		onSendFailed(context, sendId, isSent ? error : new NotRunError('the order was not sent to the engine', {cause: error}));
		yield * removeRefusedOrder(context, subject, {order, sendId}, isSent ? error : undefined);
		throw error;
	} finally {
		connection?.close();
	}

	onAnswered(context, {order, sendId});
	const state = yield * callStep(`read the engine after ${kind}`, async () => engine.readState());
	if (hasTakenEffect(order, state) && state.phase !== enginePhase.away) {
		yield * writeConfirmation(context, subject, order);
	}
}

function onAnswered(context: TermContext, {order, sendId}: Attempt): void {
	context.answeredOrders.add(order.id);
	context.countOrder('answered');
	if (sendId !== undefined) {
		context.sendTracker.recordOutcome(sendId);
	}
}

function onSendFailed(context: TermContext, sendId: string | undefined, error: unknown): void {
	context.countOrder(error instanceof Error ? error.name : 'failed');
	if (sendId !== undefined) {
		context.sendTracker.recordOutcome(sendId, error);
	}

	if (error instanceof StaleFenceError) {
		context.recordStore.close();
		throw new AuthorityLostError('an engine refused an order because it has seen a higher fencing number, raised by a later term', {cause: error});
	}
}

/** Removes an order from the record if its only send never left this process or was refused by the engine. */
function * removeRefusedOrder(context: TermContext, {id}: Subject, {order}: Attempt, error: unknown): Procedure<void> {
	const isOver = error instanceof NotRunError || error instanceof OrderRefusedError;
	if (isOver && order.sends === 1) {
		yield * callStep('write the refusal', async () => context.recordStore.update(record => updateUpstream(record, id, upstream => removeOrderAndEndedSends(context, upstream, order))));
	}
}

function * refuseLateSends(context: TermContext, subject: Subject, order: OrderRecord): Procedure<void> {
	if (order.fence >= context.recordStore.record.fence) {
		// The answer to an order of this term was lost: only a higher fence makes the engine refuse a late copy of that order.
		yield * callStep('raise the fence', async () => context.recordStore.update(record => ({...record, fence: record.fence + 1})));
	}

	yield * applySeal(context, subject);
}

function * writeConfirmation(context: TermContext, {id}: Subject, order: OrderRecord): Procedure<string> {
	yield * callStep('write the confirmation', async () => context.recordStore.update(record => updateUpstream(record, id, upstream => {
		// The only send has taken effect, so no other copy can still arrive.
		const isOnlySend = upstream.order?.id === order.id && upstream.order.sends === 1;
		return confirmOrder(upstream, order.id, isOnlySend ? new Set(upstream.senders) : context.sendTracker.listEnded());
	})));
	context.countOrder('confirmed');
	return 'confirmed';
}

function * settleWithoutEffect(context: TermContext, subject: Subject, order: OrderRecord): Procedure<string> {
	const {id, upstream} = subject;
	const openSends = removeSenders(upstream, context.sendTracker.listEnded()).senders;
	if (upstream.isFenced || openSends.length === 0) {
		yield * callStep(
			'write that the order had no effect',
			async () => context.recordStore.update(record => updateUpstream(record, id, before => removeOrderAndEndedSends(context, before, order))),
		);
		context.countOrder('dropped');
		return 'had no effect';
	}

	yield * callStep(
		'write that the order stays open',
		async () => context.recordStore.update(record => updateUpstream(record, id, before => confirmOrder(before, order.id, context.sendTracker.listEnded()))),
	);
	return `sends of ${openSends.join(', ')} may still arrive`;
}

function removeOrderAndEndedSends(context: TermContext, upstream: UpstreamRecord, order: OrderRecord): UpstreamRecord {
	return removeOrder(removeSenders(upstream, context.sendTracker.listEnded()), order.id);
}

function recordNotSent(context: TermContext, sendId: string | undefined): void {
	if (sendId !== undefined) {
		context.sendTracker.recordOutcome(sendId, new NotRunError('the order was not sent to the engine'));
	}
}

/** Whether an upstream's record has an open order. */
export function hasOpenOrder(upstream: UpstreamRecord): boolean {
	return upstream.order?.state === orderState.intended;
}

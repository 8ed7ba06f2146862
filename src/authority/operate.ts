import {upstreamState} from '../feed/index.js';
import type {MemberFact} from '../feed/index.js';
import {operationKind, operationState} from '../operations/index.js';
import type {Operation, OperationProgress} from '../operations/index.js';
import {holdKind, isServing, updateUpstream} from './record.js';
import type {DomainRecord, UpstreamRecord} from './record.js';

/** Maximum number of stopped VMs in the domain record. A drain waits again for a VM that was dropped from it. */
const maxStoppedVms = 64;

/** What the progress of an operation is decided from. */
export type OperationView = {
	readonly record: DomainRecord;
	readonly holder: string;
	/** Explains what an upstream waits for; empty when it waits for nothing. */
	readonly explainWait: (id: string) => string;
	/** Finds what a VM's entry last published about itself. */
	readonly findMember: (vm: string) => MemberFact | undefined;
	/** Whether something was received lately from a VM's entry. */
	readonly isLive: (vm: string) => boolean;
};

/** The domain record after a step of an operation, and the progress of the operation. */
export type OperationDecision = {readonly record: DomainRecord; readonly progress: OperationProgress};

/** Decides the next step of an operation. The record is returned unchanged when there is nothing to change in it at present. */
export function decideOperation(operation: Operation, view: OperationView): OperationDecision {
	if (operation.kind === operationKind.confirmStopped) {
		return decideConfirmStopped(operation.subject, view);
	}

	const upstream = view.record.upstreams[operation.subject];
	if (!upstream) {
		const isOver = operation.kind === operationKind.withdraw && operation.state !== operationState.asked;
		return isOver ? reportDone(view, 'withdrawn and no longer in the text') : refuseOperation(view, `no upstream ${operation.subject} in this failure domain`);
	}

	switch (operation.kind) {
		case operationKind.drain: {
			return upstream.hold === holdKind.withdrawn ? refuseOperation(view, 'it is withdrawn') : decideHold(operation.subject, upstream, view, holdKind.drained);
		}

		case operationKind.withdraw: {
			return decideHold(operation.subject, upstream, view, holdKind.withdrawn);
		}

		case operationKind.resume: {
			return decideResume(operation.subject, upstream, view);
		}

		case operationKind.replace: {
			return decideReplace(operation, upstream, view);
		}
	}
}

function decideHold(id: string, upstream: UpstreamRecord, view: OperationView, hold: UpstreamRecord['hold']): OperationDecision {
	if (upstream.hold !== hold) {
		return reportRunning(updateUpstream(view.record, id, before => ({...before, hold})), 'closing');
	}

	const isDone = upstream.isDrained && (hold === holdKind.drained || upstream.state === upstreamState.withdrawn);
	return isDone ? reportDone(view, hold) : reportWaiting(view, id);
}

function decideResume(id: string, upstream: UpstreamRecord, view: OperationView): OperationDecision {
	if (upstream.hold !== undefined) {
		return reportRunning(updateUpstream(view.record, id, ({hold: _hold, ...before}) => ({...before, isDrained: false})), 'resuming');
	}

	return isServing(upstream) ? reportDone(view, 'takes work') : reportWaiting(view, id);
}

function decideReplace({subject, replacement = ''}: Operation, upstream: UpstreamRecord, view: OperationView): OperationDecision {
	const other = view.record.upstreams[replacement];
	if (other?.service !== upstream.service || replacement === subject) {
		return refuseOperation(view, `no other upstream ${replacement} of ${upstream.service} in this failure domain`);
	}

	if (upstream.hold === holdKind.withdrawn) {
		return decideHold(subject, upstream, view, holdKind.withdrawn);
	}

	const role = upstream.setup?.role;
	if (other.hold !== undefined || (other.isEngine && role !== undefined && other.role !== role)) {
		return reportRunning(updateUpstream(view.record, replacement, ({hold: _hold, ...before}) => ({...before, role, isDrained: false})), `${replacement} takes its place`);
	}

	const isReady = isServing(other) && (!other.isEngine || other.role === undefined || other.setup?.role === other.role);
	return isReady ? decideHold(subject, upstream, view, holdKind.withdrawn) : reportWaiting(view, replacement);
}

/** Removes the sends of a VM's stopped processes from the record. Refused while a live process of that VM has sends there. */
function decideConfirmStopped(vm: string, view: OperationView): OperationDecision {
	const member = view.findMember(vm);
	const livePrefix = member && view.isLive(vm) ? `${vm}/${member.incarnation}#` : undefined;
	const isFromStopped = (sendId: string) => isSentBy(sendId, `${vm}/`) && !isSentBy(sendId, `${view.holder}#`) && !isSentBy(sendId, livePrefix);
	let {record} = view;
	let isBlocked = false;
	for (const [id, upstream] of Object.entries(record.upstreams)) {
		isBlocked ||= upstream.senders.some(sendId => isSentBy(sendId, livePrefix));
		if (upstream.senders.some(sendId => isFromStopped(sendId))) {
			record = updateUpstream(record, id, before => ({...before, senders: before.senders.filter(sendId => !isFromStopped(sendId))}));
		}
	}

	if (isBlocked) {
		return refuseOperation(view, `${vm} was heard from just now`);
	}

	if (livePrefix === undefined && record.stopped[vm] !== (member?.incarnation ?? 0)) {
		record = {...record, stopped: addStoppedVm(record.stopped, vm, member?.incarnation ?? 0)};
	}

	return {record, progress: {state: operationState.done, detail: 'confirmed'}};
}

function isSentBy(sendId: string, sendIdPrefix: string | undefined): boolean {
	return sendIdPrefix !== undefined && sendId.startsWith(sendIdPrefix);
}

function addStoppedVm(stopped: DomainRecord['stopped'], vm: string, incarnation: number): DomainRecord['stopped'] {
	const others = Object.entries(stopped).filter(([name]) => name !== vm).slice(1 - maxStoppedVms);
	return Object.fromEntries([...others, [vm, incarnation]]);
}

function reportRunning(record: DomainRecord, detail: string): OperationDecision {
	return {record, progress: {state: operationState.running, detail}};
}

function reportWaiting({record, explainWait}: OperationView, id: string): OperationDecision {
	const detail = explainWait(id);
	return {record, progress: {state: detail === '' ? operationState.running : operationState.waiting, detail}};
}

function reportDone({record}: OperationView, detail = ''): OperationDecision {
	return {record, progress: {state: operationState.done, detail}};
}

function refuseOperation({record}: OperationView, detail: string): OperationDecision {
	return {record, progress: {state: operationState.refused, detail}};
}

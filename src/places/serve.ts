import {QueueRefusal} from '../dispatch/index.js';
import type {EngineOutcome} from '../dispatch/index.js';
import {refusalReason} from '../errors/index.js';
import type {MessageHandlers, MessageLink} from '../peers/index.js';
import type {LocalReservation, SlotAllocator} from './allocator.js';
import {parseItems, allocatorMessageKind, toItems} from './messages.js';
import type {AllocatorMessage} from './messages.js';
import {LimitLink} from './limitlink.js';
import {QuarantineLink} from './quarantinelink.js';
import type {Reservation, ReservationRequest} from './types.js';

/** Passed to `abort`, which otherwise creates an error with a stack trace each time. */
const cancelReason = 'request cancelled';

/** Time after which a request that could not be decided may come again, in milliseconds. */
const failedRetryAfterMs = 200;

/** A request of the connection; it waits while it has no reservation. */
type RequestState = {readonly controller: AbortController; reservation: Reservation | undefined};

/**
Serves the reservation requests of one connection from the allocator of this process. When the connection closes, its
waiting requests are cancelled and its reservations released. Takes the VM of this process.
*/
export function serveReservations(link: MessageLink, allocator: SlotAllocator, localVm: string): MessageHandlers {
	const requests = new Map<number, RequestState>();
	const send = (message: AllocatorMessage) => {
		link.send(toItems(message));
	};

	const quarantineLink = new QuarantineLink(allocator.timers, allocator.quarantine, send);
	quarantineLink.start();
	const limitLink = new LimitLink({
		timers: allocator.timers, limits: allocator.limits, localVm, send,
	});
	limitLink.start();
	const client = allocator.clients.add(allocator.timers.getNow());

	const onRequest = async (id: number, request: ReservationRequest) => {
		const state: RequestState = {controller: new AbortController(), reservation: undefined};
		requests.set(id, state);
		const result = await tryAcquire(allocator, request, state.controller.signal);
		if (result instanceof QueueRefusal) {
			requests.delete(id);
			send({
				kind: allocatorMessageKind.refuse, id, reason: result.reason, retryAfterMs: result.retryAfterMs, grantRate: allocator.computeGrantRate(request),
			});
			return;
		}

		state.reservation = result;
		if (state.controller.signal.aborted) {
			result.release(undefined);
		} else {
			send({
				kind: allocatorMessageKind.grant, id, engines: result.engines, grantRate: allocator.computeGrantRate(request),
			});
		}
	};

	const release = (id: number, outcome: EngineOutcome | undefined) => {
		const state = requests.get(id);
		if (state && !state.reservation) {
			state.controller.abort(cancelReason);
		}

		state?.reservation?.release(outcome);
		requests.delete(id);
	};

	/** Handles a message from another entry; ignores kinds that only an allocator sends. */
	const onMessage = (message: AllocatorMessage) => {
		client.lastReceivedAt = allocator.timers.getNow();
		if (message.kind === allocatorMessageKind.request) {
			client.askedAt.set(message.request.service, client.lastReceivedAt);
			void onRequest(message.id, message.request);
			return;
		}

		if (message.kind === allocatorMessageKind.adopt) {
			const reservation = allocator.registerReservation(message.request, message.engines, message.isPrefillPending);
			if (reservation) {
				requests.set(message.id, {controller: new AbortController(), reservation});
			}

			return;
		}

		if (message.kind === allocatorMessageKind.quarantine) {
			quarantineLink.onMessage(message.quarantines);
			return;
		}

		if (message.kind === allocatorMessageKind.limits) {
			client.vm = message.sender;
			limitLink.onMessage(message.limits);
			return;
		}

		if (message.kind === allocatorMessageKind.permitRequest) {
			client.askedAt.set(message.engine.service, client.lastReceivedAt);
			send({kind: allocatorMessageKind.permit, id: message.id, ...allocator.tryTakePermit(message.engine, message.priorCount)});
			return;
		}

		if (message.kind === allocatorMessageKind.ping) {
			send({kind: allocatorMessageKind.pong, id: message.id});
			return;
		}

		if (message.kind === allocatorMessageKind.prefillEnd) {
			requests.get(message.id)?.reservation?.onPrefillEnd(message.outcome);
			return;
		}

		if (message.kind === allocatorMessageKind.pace) {
			requests.get(message.id)?.reservation?.onPace(message.pace);
			return;
		}

		if (message.kind === allocatorMessageKind.silence) {
			requests.get(message.id)?.reservation?.onSilence(message.isSilent);
			return;
		}

		if (message.kind === allocatorMessageKind.release || message.kind === allocatorMessageKind.cancel) {
			release(message.id, message.kind === allocatorMessageKind.release ? message.outcome : undefined);
		}
	};

	return {
		onMessage(items) {
			onMessage(parseItems(items));
		},
		onClose() {
			quarantineLink.close();
			limitLink.close();
			allocator.clients.remove(client);
			for (const state of requests.values()) {
				state.controller.abort(cancelReason);
				state.reservation?.release(undefined);
			}

			requests.clear();
		},
	};
}

/** Waits for a reservation. Refuses a request whose decision throws: the entry that asked would otherwise wait until its deadline. */
async function tryAcquire(allocator: SlotAllocator, request: ReservationRequest, signal: AbortSignal): Promise<LocalReservation | QueueRefusal> {
	try {
		return await allocator.tryAcquire(request, signal);
	} catch (error) {
		allocator.reportFailure('decide on a reservation', error);
		return new QueueRefusal(refusalReason.overload, failedRetryAfterMs);
	}
}

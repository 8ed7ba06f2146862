import {LineRefusal} from '../dispatch/index.js';
import type {EngineSign} from '../dispatch/index.js';
import type {MessageHandlers, MessageLink} from '../peers/index.js';
import type {SlotAllocator} from './allocator.js';
import {parseItems, allocatorMessageKind, toItems} from './messages.js';
import type {AllocatorMessage} from './messages.js';
import type {Reservation, ReservationRequest} from './types.js';

/** Why a wait ended; without a reason of its own a signal makes an error with a stack each time. */
const cancelReason = 'given up';

type RequestState = {readonly controller: AbortController; reservation: Reservation | undefined};

/** Serves one connection's asks from the keeper of this process; what the connection holds is given up when it closes. */
export function serveReservations(link: MessageLink, allocator: SlotAllocator): MessageHandlers {
	const requests = new Map<number, RequestState>();
	const send = (message: AllocatorMessage) => {
		link.send(toItems(message));
	};

	const onRequest = async (id: number, request: ReservationRequest) => {
		const state: RequestState = {controller: new AbortController(), reservation: undefined};
		requests.set(id, state);
		const result = await allocator.tryAcquire(request, state.controller.signal);
		if (result instanceof LineRefusal) {
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

	const release = (id: number, outcome: EngineSign | undefined) => {
		const state = requests.get(id);
		if (state && !state.reservation) {
			state.controller.abort(cancelReason);
		}

		state?.reservation?.release(outcome);
		requests.delete(id);
	};

	/** Takes in what the other entry asks and tells; messages of the other direction say nothing here. */
	const onMessage = (message: AllocatorMessage) => {
		if (message.kind === allocatorMessageKind.request) {
			void onRequest(message.id, message.request);
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

		if (message.kind === allocatorMessageKind.release || message.kind === allocatorMessageKind.cancel) {
			release(message.id, message.kind === allocatorMessageKind.release ? message.outcome : undefined);
		}
	};

	return {
		onMessage(items) {
			onMessage(parseItems(items));
		},
		onClose() {
			for (const state of requests.values()) {
				state.controller.abort(cancelReason);
				state.reservation?.release(undefined);
			}

			requests.clear();
		},
	};
}

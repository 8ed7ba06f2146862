import {QueueRefusal} from '../dispatch/index.js';
import type {EngineOutcome} from '../dispatch/index.js';
import type {MessageHandlers, MessageLink} from '../peers/index.js';
import type {PlaceKeeper} from './keeper.js';
import {parseItems, placeMessageKind, toItems} from './messages.js';
import type {PlaceMessage} from './messages.js';
import type {HeldPlace, PlaceAsk} from './types.js';

/** Why a wait ended; without a reason of its own a signal makes an error with a stack each time. */
const givenUp = 'given up';

type Held = {readonly controller: AbortController; place: HeldPlace | undefined};

/** Serves one connection's asks from the keeper of this process; what the connection holds is given up when it closes. */
export function servePlaces(link: MessageLink, keeper: PlaceKeeper): MessageHandlers {
	const held = new Map<number, Held>();
	const send = (message: PlaceMessage) => {
		link.send(toItems(message));
	};

	const onAsk = async (ask: number, place: PlaceAsk) => {
		const entry: Held = {controller: new AbortController(), place: undefined};
		held.set(ask, entry);
		const result = await keeper.tryAcquire(place, entry.controller.signal);
		if (result instanceof QueueRefusal) {
			held.delete(ask);
			send({
				kind: placeMessageKind.refuse, ask, reason: result.reason, retryAfterMs: result.retryAfterMs, givenPart: keeper.computeGivenPart(place),
			});
			return;
		}

		entry.place = result;
		if (entry.controller.signal.aborted) {
			result.release(undefined);
		} else {
			send({
				kind: placeMessageKind.grant, ask, engines: result.engines, givenPart: keeper.computeGivenPart(place),
			});
		}
	};

	const release = (ask: number, sign: EngineOutcome | undefined) => {
		const entry = held.get(ask);
		if (entry && !entry.place) {
			entry.controller.abort(givenUp);
		}

		entry?.place?.release(sign);
		held.delete(ask);
	};

	/** Takes in what the other entry asks and tells; messages of the other direction say nothing here. */
	const onMessage = (message: PlaceMessage) => {
		if (message.kind === placeMessageKind.ask) {
			void onAsk(message.ask, message.place);
			return;
		}

		if (message.kind === placeMessageKind.ping) {
			send({kind: placeMessageKind.pong, ask: message.ask});
			return;
		}

		if (message.kind === placeMessageKind.read) {
			held.get(message.ask)?.place?.onRead(message.sign);
			return;
		}

		if (message.kind === placeMessageKind.release || message.kind === placeMessageKind.cancel) {
			release(message.ask, message.kind === placeMessageKind.release ? message.sign : undefined);
		}
	};

	return {
		onMessage(items) {
			onMessage(parseItems(items));
		},
		onClose() {
			for (const entry of held.values()) {
				entry.controller.abort(givenUp);
				entry.place?.release(undefined);
			}

			held.clear();
		},
	};
}

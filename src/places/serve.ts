import {NotRunError, refusalReason} from '../errors/index.js';
import type {RefusalReason} from '../errors/index.js';
import type {MessageHandlers, MessageLink} from '../peers/index.js';
import type {PlaceKeeper} from './keeper.js';
import {parseItems, placeMessageKind, toItems} from './messages.js';
import type {PlaceMessage} from './messages.js';
import type {HeldPlace, PlaceAsk} from './types.js';

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
		try {
			entry.place = await keeper.acquire(place, entry.controller.signal);
			if (entry.controller.signal.aborted) {
				entry.place.release(undefined);
			} else {
				send({kind: placeMessageKind.grant, ask, engines: entry.place.engines});
			}
		} catch (error) {
			held.delete(ask);
			const isRefusal = error instanceof NotRunError;
			send({
				kind: placeMessageKind.refuse, ask,
				reason: isRefusal ? error.reason as RefusalReason : refusalReason.unavailable,
				retryAfterMs: isRefusal ? error.retryAfterMs : 0,
			});
		}
	};

	const onMessage = (message: PlaceMessage) => {
		switch (message.kind) {
			case placeMessageKind.ask: {
				void onAsk(message.ask, message.place);
				break;
			}

			case placeMessageKind.read: {
				held.get(message.ask)?.place?.onRead(message.sign);
				break;
			}

			case placeMessageKind.release: {
				held.get(message.ask)?.place?.release(message.sign);
				held.delete(message.ask);
				break;
			}

			case placeMessageKind.cancel: {
				held.get(message.ask)?.controller.abort();
				held.get(message.ask)?.place?.release(undefined);
				held.delete(message.ask);
				break;
			}

			case placeMessageKind.ping: {
				send({kind: placeMessageKind.pong, ask: message.ask});
				break;
			}

			default: {
				break;
			}
		}
	};

	return {
		onMessage(items) {
			onMessage(parseItems(items));
		},
		onClose() {
			for (const entry of held.values()) {
				entry.controller.abort();
				entry.place?.release(undefined);
			}

			held.clear();
		},
	};
}

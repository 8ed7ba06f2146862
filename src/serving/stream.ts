import {BrokenAnswerError, ForeignAnswerError, NotRunError} from '../errors/index.js';
import {callStep} from '../procedures/index.js';
import type {Procedure} from '../procedures/index.js';
import {placementOutcome} from '../routing/index.js';
import type {Placement, Router, Work} from '../routing/index.js';
import type {
	EndEvent, EngineClient, GenerateEvent, TokenEvent,
} from '../upstreams/index.js';

/** Takes the events of an answer in order, each once. */
export type AnswerSink = (event: TokenEvent | EndEvent) => Promise<void> | void;

/** What serving a stream needs. */
export type StreamParts = {
	readonly router: Router;
	readonly getEngine: (placement: Placement) => EngineClient;
	readonly onEvent: AnswerSink;
	readonly signal: AbortSignal;
};

/** Serves one request to a model: places it, passes its events on and resumes it elsewhere when it breaks. */
export function * serveStream(work: Work, prompt: string, parts: StreamParts): Procedure<EndEvent> {
	const excluded = new Set<string>();
	let offset = 0;
	for (;;) {
		const placement = yield * callStep('choose a placement', () => parts.router.choosePlacement(work, excluded));
		const events = parts.getEngine(placement).generate({
			id: work.id,
			model: work.model,
			version: work.version,
			adapter: work.adapter,
			prompt,
			promptTokens: work.promptTokens,
			maxTokens: work.maxTokens,
			offset,
			priority: work.priority,
		}, parts.signal)[Symbol.asyncIterator]();
		parts.router.onSent(work, placement);
		try {
			for (;;) {
				const event = yield * callStep('read an event', async () => readEvent(events));
				yield * callStep('pass the event on', async () => parts.onEvent(event));
				if (event.kind === 'end') {
					parts.router.onEnd(work, placement, placementOutcome.done);
					return event;
				}

				parts.router.onTokens(work, placement, 1);
				offset = event.offset + 1;
			}
		} catch (error) {
			parts.router.onEnd(work, placement, placementOutcome.broken);
			const isResumable = error instanceof NotRunError || error instanceof BrokenAnswerError || error instanceof ForeignAnswerError;
			if (!isResumable || parts.signal.aborted || !parts.router.tryRetry(work.service)) {
				throw error;
			}

			excluded.add(placement.upstream.id);
		}
	}
}

async function readEvent(events: AsyncIterator<GenerateEvent>): Promise<GenerateEvent> {
	const turn = await events.next();
	if (turn.done) {
		throw new BrokenAnswerError('the answer ended without its end marker');
	}

	return turn.value;
}

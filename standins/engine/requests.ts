import {BrokenAnswerError} from '../../src/errors/index.js';
import type {GenerateRequest} from '../../src/upstreams/index.js';
import type {TimerService} from '../../src/timers/index.js';
import {hashAnswerText} from './answer.js';
import {engineEvent} from './journal.js';
import type {EngineEvent, EngineRow} from './journal.js';
import type {Scheduler} from './scheduler.js';
import {Sequence} from './sequence.js';
import type {EventSink} from './sequence.js';

/** Largest number of ended requests whose answer can be read again by their id. */
const maxEndedRequests = 512;

/** Detaches a connection from its request; the request is cancelled when no other connection attaches to it within the time-out. */
export type Detach = () => void;

/** Writes a row of the engine's journal. */
export type RecordRow = (event: EngineEvent, id: string, more?: Partial<EngineRow>) => void;

/** The unfinished requests of an engine, and those that ended lately. */
export class EngineRequests {
	readonly #running = new Map<string, Sequence>();
	readonly #prefills = new Set<Sequence>();
	readonly #ended = new Map<string, Sequence>();
	#nextArrivalNumber = 0;

	constructor(
		private readonly timers: TimerService,
		private readonly scheduler: Scheduler,
		private readonly reattachTimeoutMs: number,
		private readonly record: RecordRow,
	) {}

	/** Finds a generation that is unfinished or ended lately. */
	findSequence(id: string): Sequence | undefined {
		return this.#running.get(id) ?? this.#ended.get(id);
	}

	/** Starts a generation whose events go to `sink`. */
	start(request: GenerateRequest, sink: EventSink): Detach {
		const sequence = new Sequence(request, this.#nextArrivalNumber++);
		this.record(engineEvent.requestStarted, request.id, {offset: request.offset, prompt: hashAnswerText(request.prompt)});
		this.#running.set(request.id, sequence);
		const detach = this.#setSink(sequence, sink);
		this.scheduler.add(sequence);
		return detach;
	}

	/** Prefills a prompt without generating. Throws `BrokenAnswerError` when the engine drops the request. */
	async runPrefill(request: GenerateRequest): Promise<void> {
		await new Promise<void>((resolve, reject) => {
			const sequence = new Sequence(request, this.#nextArrivalNumber++, reason => {
				this.#prefills.delete(sequence);
				if (reason === undefined) {
					resolve();
				} else {
					reject(new BrokenAnswerError(reason));
				}
			});
			this.#prefills.add(sequence);
			this.scheduler.add(sequence);
		});
	}

	/** Continues a request on another connection, from the offset that `request` gives; the earlier connection is cut. */
	resume(sequence: Sequence, request: GenerateRequest, sink: EventSink): Detach {
		this.record(engineEvent.requestAttached, request.id, {offset: request.offset});
		sequence.sink?.onCut('another connection came for the request');
		for (let {offset} = request; offset < sequence.nextOffset; offset++) {
			sink.onEvent(sequence.answer.getEvent(offset));
		}

		return this.#setSink(sequence, sink);
	}

	/** Cancels a request; does nothing when no unfinished generation has this id. */
	cancel(id: string): void {
		const sequence = this.#running.get(id);
		if (sequence) {
			this.record(engineEvent.requestCancelled, id, {offset: sequence.nextOffset});
			this.#remove(sequence, 'cancelled');
		}
	}

	/** Moves a generation that reached its end to the ended requests. */
	finish(sequence: Sequence): void {
		sequence.reattachTimer?.cancel();
		if (sequence.onPrefilled) {
			return;
		}

		const {id} = sequence.request;
		this.#running.delete(id);
		this.#ended.set(id, sequence);
		const [oldest] = this.#ended.keys();
		if (this.#ended.size > maxEndedRequests && oldest !== undefined) {
			this.#ended.delete(oldest);
		}

		this.record(engineEvent.requestEnded, id, {offset: sequence.answer.tokenCount, hash: sequence.answer.hashText()});
	}

	/** Aborts all unfinished requests. */
	abort(reason: string): void {
		for (const sequence of this.listUnfinished()) {
			this.record(engineEvent.requestCut, sequence.request.id, {offset: sequence.nextOffset, reason});
			this.#remove(sequence, reason);
		}
	}

	/** Drops the ended requests, as a restart does. */
	forgetEnded(): void {
		this.#ended.clear();
	}

	/** Lists the unfinished generations and prefills. */
	listUnfinished(): readonly Sequence[] {
		return [...this.#running.values(), ...this.#prefills];
	}

	#setSink(sequence: Sequence, sink: EventSink): Detach {
		sequence.reattachTimer?.cancel();
		sequence.sink = sink;
		sequence.attachmentId++;
		const {attachmentId} = sequence;
		return () => {
			if (sequence.attachmentId !== attachmentId || this.#running.get(sequence.request.id) !== sequence) {
				return;
			}

			sequence.sink = undefined;
			sequence.reattachTimer = this.timers.startTimer(this.reattachTimeoutMs, () => {
				this.cancel(sequence.request.id);
			});
		};
	}

	#remove(sequence: Sequence, reason: string): void {
		if (!sequence.onPrefilled) {
			this.#running.delete(sequence.request.id);
		}

		this.scheduler.remove(sequence);
		sequence.reattachTimer?.cancel();
		sequence.sink?.onCut(reason);
		sequence.sink = undefined;
		sequence.onPrefilled?.(reason);
	}
}

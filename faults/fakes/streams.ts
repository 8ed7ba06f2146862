import {BrokenAnswerError, NotRunError, UnknownOutcomeError} from '../../src/errors/index.js';
import {FactTable} from '../../src/feed/index.js';
import {LeastInFlightRouter} from '../../src/routing/index.js';
import type {Placement, PlacementOutcome, RoutingRequest} from '../../src/routing/index.js';
import type {Upstream} from '../../src/deployment/index.js';
import {EngineClient} from '../../src/upstreams/index.js';
import type {
	CacheEvents, EndEvent, EngineState, GenerateEvent, GenerateRequest, KvHandle, LoadReport, TokenEvent, OrderConnection,
} from '../../src/upstreams/index.js';

/** What an engine does wrong with one request. */
export const engineFault = {
	none: 'none',
	refuse: 'refuse',
	connectFails: 'connect fails',
	answerLost: 'answer lost',
	breaks: 'breaks',
	silent: 'silent',
	foreign: 'foreign',
	late: 'late',
	gap: 'gap',
	noEnd: 'no end',
} as const;

/** See {@link engineFault}. */
export type EngineFault = (typeof engineFault)[keyof typeof engineFault];

/** A fault at one request, `at` tokens after its first. */
export type PlannedFault = {readonly fault: EngineFault; readonly at: number};

/** What an engine did, for tests to judge by. */
export type EngineRecord = {readonly event: 'started' | 'ended' | 'cancelled' | 'closed' | 'exported' | 'imported'; readonly id: string; readonly offset: number; readonly kv?: string};

/** Makes the token that every engine generates for a prompt at an offset. */
export function createToken(prompt: string, offset: number): string {
	return ` ${prompt}${offset}`;
}

/** Makes the whole answer of `size` tokens. */
export function createAnswer(prompt: string, size: number): string {
	return Array.from({length: size}, (_, offset) => createToken(prompt, offset)).join('');
}

/** A model engine in memory; each request takes the next planned fault. */
export class FakeEngine extends EngineClient {
	readonly journal: EngineRecord[] = [];
	readonly faults: PlannedFault[] = [];
	/** Answers whose reader has not let go of them yet. */
	open = 0;
	isKvDown = false;
	/** Takes connections and answers nothing. */
	isFrozen = false;
	/** Put on the next event of whatever answer is being streamed. */
	nextFault: EngineFault = engineFault.none;
	/** Adds the end marker that an answer which broke off does not have. */
	isEndForged = false;
	/** Called before each token, so that a test can act between two of them. */
	onToken: ((offset: number) => Promise<void> | void) | undefined;
	#exports = 0;
	/** Rises with each crash; answers of an earlier life are broken. */
	#life = 0;
	/** Rises with each silence; connections of earlier ones are silent. */
	#silences = 0;

	constructor(readonly id: string) {
		super();
	}

	async * generate(request: GenerateRequest, signal: AbortSignal): AsyncGenerator<GenerateEvent> {
		const {fault, at} = this.faults.shift() ?? {fault: engineFault.none, at: 0};
		checkStart(fault);
		this.open++;
		try {
			yield * this.#generate(request, {fault, at}, signal);
		} finally {
			this.open--;
		}
	}

	async cancel(id: string): Promise<void> {
		this.journal.push({event: 'cancelled', id, offset: 0});
	}

	async readLoad(): Promise<LoadReport> {
		throw new NotRunError('the fake has no load');
	}

	async readState(): Promise<EngineState> {
		if (this.isFrozen) {
			await waitForEver();
		}

		return {
			incarnation: 1, phase: 'ready', role: 'mixed', model: '', version: '', adapters: [], fence: 0, lastOrder: '', running: 0,
		};
	}

	async openOrderConnection(): Promise<OrderConnection> {
		throw new NotRunError('the fake takes no orders');
	}

	async exportKv(request: GenerateRequest): Promise<KvHandle> {
		if (this.isKvDown) {
			throw new UnknownOutcomeError('no answer');
		}

		this.journal.push({event: 'exported', id: request.id, offset: 0});
		this.#exports++;
		return {handle: `${this.id}-${this.#exports}`, bytes: 1};
	}

	async importKv(source: string, handle: string): Promise<KvHandle> {
		if (this.isKvDown) {
			throw new UnknownOutcomeError('no answer');
		}

		this.journal.push({
			event: 'imported', id: source, offset: 0, kv: handle,
		});
		return {handle, bytes: 1};
	}

	async readCacheEvents(): Promise<CacheEvents> {
		return {incarnation: 1, events: []};
	}

	/** Breaks every answer in progress, as a crash and a quick start do. */
	abortAll(): void {
		this.#life++;
	}

	/** Makes every connection that is open now silent for good; new ones work. */
	closeSilently(): void {
		this.#silences++;
	}

	/** Counts the requests that this engine started. */
	countStarted(): number {
		return this.journal.filter(record => record.event === 'started').length;
	}

	async * #generate(request: GenerateRequest, {fault, at}: PlannedFault, signal: AbortSignal): AsyncGenerator<GenerateEvent> {
		this.journal.push({
			event: 'started', id: request.id, offset: request.offset, kv: request.kv,
		});
		if (this.isFrozen) {
			await waitForAbort(signal);
		}

		if (fault === engineFault.answerLost) {
			throw new UnknownOutcomeError('no answer');
		}

		const start = {life: this.#life, silences: this.#silences};
		for (let {offset} = request; offset < request.maxTokens; offset++) {
			if (offset === request.offset + at) {
				yield * listFaulty(fault, request, offset, signal);
			}

			await this.onToken?.(offset);
			await this.#checkConnection(start, signal);
			const struck = this.#takeFault();
			if (struck === engineFault.noEnd || (fault === engineFault.noEnd && offset === request.offset + at)) {
				yield * this.#listForgedEnd(request, offset);
				return;
			}

			yield * listFaulty(struck, request, offset, signal);
			yield createTokenEvent(request, offset);
		}

		await this.#checkConnection(start, signal);
		this.journal.push({event: 'ended', id: request.id, offset: request.maxTokens});
		yield createEnd(request);
	}

	async #checkConnection(start: {readonly life: number; readonly silences: number}, signal: AbortSignal): Promise<void> {
		if (start.silences !== this.#silences) {
			await waitForAbort(signal);
		}

		checkOpen(signal);
		if (start.life !== this.#life) {
			throw new BrokenAnswerError('the engine crashed');
		}
	}

	#takeFault(): EngineFault {
		const fault = this.nextFault;
		this.nextFault = engineFault.none;
		return fault;
	}

	* #listForgedEnd(request: GenerateRequest, offset: number): Generator<GenerateEvent> {
		if (this.isEndForged) {
			yield {...createEnd(request), offset};
		}
	}
}

/** The plain router with a journal of what serving told it. */
export class FakeRouter extends LeastInFlightRouter {
	readonly ends: Array<{readonly upstream: string; readonly outcome: PlacementOutcome}> = [];
	sent = 0;
	retriesLeft = Number.POSITIVE_INFINITY;
	/** Given to placements, when a test wants the prompt read elsewhere. */
	prefill: Upstream | undefined;
	readonly facts: FactTable;

	constructor(upstreams: readonly Upstream[], facts = new FactTable()) {
		super(facts, service => upstreams.filter(upstream => upstream.service === service));
		this.facts = facts;
	}

	override choosePlacement(work: RoutingRequest, excluded: ReadonlySet<string>): Placement {
		return {...super.choosePlacement(work, excluded), prefillEngine: this.prefill};
	}

	override tryRetry(): boolean {
		this.retriesLeft--;
		return this.retriesLeft >= 0;
	}

	override onSent(work: RoutingRequest, placement: Placement): void {
		this.sent++;
		super.onSent(work, placement);
	}

	override onEnd(work: RoutingRequest, placement: Placement, outcome?: PlacementOutcome): void {
		this.ends.push({upstream: placement.upstream.id, outcome: outcome ?? 'failed'});
		super.onEnd(work, placement);
	}
}

function checkStart(fault: EngineFault): void {
	if (fault === engineFault.refuse) {
		throw new NotRunError('the engine refused');
	}

	if (fault === engineFault.connectFails) {
		throw new NotRunError('no connection', {cause: new RangeError('ECONNREFUSED'), props: {isUnreached: true}});
	}
}

function checkOpen(signal: AbortSignal): void {
	if (signal.aborted) {
		throw new BrokenAnswerError('the connection was closed');
	}
}

async function * listFaulty(fault: EngineFault, request: GenerateRequest, offset: number, signal: AbortSignal): AsyncGenerator<GenerateEvent> {
	if (fault === engineFault.breaks) {
		throw new BrokenAnswerError('the connection broke');
	}

	if (fault === engineFault.silent) {
		await waitForAbort(signal);
		checkOpen(signal);
	}

	if (fault === engineFault.foreign) {
		yield {...createTokenEvent({...request, id: 'another', prompt: 'another'}, offset)};
	}

	if (fault === engineFault.late && offset > 0) {
		yield createTokenEvent(request, offset - 1);
	}

	if (fault === engineFault.gap) {
		yield createTokenEvent(request, offset + 1);
	}
}

async function waitForEver(): Promise<void> {
	await new Promise<never>(() => {
		// Nothing comes.
	});
}

async function waitForAbort(signal: AbortSignal): Promise<void> {
	if (signal.aborted) {
		return;
	}

	await new Promise<void>(resolve => {
		signal.addEventListener('abort', () => {
			resolve();
		}, {once: true});
	});
}

function createTokenEvent(request: GenerateRequest, offset: number): TokenEvent {
	return {
		kind: 'token', id: request.id, offset, text: createToken(request.prompt, offset),
	};
}

function createEnd(request: GenerateRequest): EndEvent {
	return {
		kind: 'end', id: request.id, offset: request.maxTokens, finishReason: 'length', promptTokens: request.promptTokens,
	};
}

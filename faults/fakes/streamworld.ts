import {serviceKind} from '../../src/deployment/index.js';
import type {Upstream} from '../../src/deployment/index.js';
import {upstreamState} from '../../src/feed/index.js';
import {Metrics} from '../../src/metrics/index.js';
import {runProcedure} from '../../src/procedures/index.js';
import type {StepHooks} from '../../src/procedures/index.js';
import type {Placement, RoutingRequest} from '../../src/routing/index.js';
import {serveStream} from '../../src/serving/index.js';
import type {StreamJob, StreamDependencies} from '../../src/serving/index.js';
import {ManualTimers} from '../../src/timers/index.js';
import type {EndEvent, GenerateEvent} from '../../src/upstreams/index.js';
import {FakeEngine, FakeRouter} from './streams.js';

const stepMs = 50;
/** Name of the one model service of the world. */
export const modelService = {
	kind: serviceKind.model, name: 'contracts', model: 'contracts', version: '1', deadlineMs: 30_000, firstTokenMs: 900, betweenTokensMs: 54,
} as const;

/** What a caller got. */
export type CallerRecord = {
	text: string;
	readonly events: GenerateEvent[];
	end: EndEvent | undefined;
	error: unknown;
	isSettled: boolean;
	/** Aborted when the caller disconnects; each request has its own, as in the product. */
	readonly signal: AbortSignal;
};

type StartedRequest = {readonly hooks: StepHooks; readonly parts: StreamDependencies; readonly record: CallerRecord; readonly caller: AbortController};

/** Makes an upstream of the model service. */
export function createUpstream(id: string, domain = 'd1'): Upstream {
	return {
		id, service: modelService.name, domain, address: `${id}:1`, fenced: true, pieces: 64,
	};
}

/** One entry between a caller and two engines, all in memory, under time that a test moves. */
export class StreamWorld {
	readonly timers = new ManualTimers();
	readonly metrics = new Metrics();
	readonly engines = new Map(['e1', 'e2'].map(id => [id, new FakeEngine(id)]));
	readonly router = new FakeRouter([...this.engines.keys()].map(id => createUpstream(id)));
	/** Connections opened for one request alone. */
	freshConnections = 0;
	closedConnections = 0;
	version = 0;
	readonly #callers = new Set<AbortController>();

	/** Gives one of the world's engines. */
	getEngine(id: string): FakeEngine {
		const engine = this.engines.get(id);
		if (!engine) {
			throw new RangeError(`${id} is not of this world`);
		}

		return engine;
	}

	/** Makes a request of `size` tokens. */
	createWork(id: string, size: number): RoutingRequest {
		const now = this.timers.getNow();
		return {
			id,
			caller: 'cafe-12',
			service: modelService.name,
			model: modelService.model,
			version: modelService.version,
			promptTokens: 1,
			maxTokens: size,
			prefixes: [],
			priority: 0,
			firstTokenTargetAt: now + modelService.firstTokenMs,
			deadlineAt: now + modelService.deadlineMs,
		};
	}

	/** Starts a request; the record fills as it is served. */
	start(job: StreamJob, hooks: StepHooks = {}, changes: Partial<StreamDependencies> = {}): CallerRecord {
		const caller = new AbortController();
		this.#callers.add(caller);
		const record: CallerRecord = {
			text: '', events: [], end: undefined, error: undefined, isSettled: false, signal: caller.signal,
		};
		const parts: StreamDependencies = {
			router: this.router,
			timers: this.timers,
			metrics: this.metrics,
			getConnection: (placement, isFresh) => this.#getConnection(placement, isFresh),
			getTimeouts: () => ({firstEventTimeoutMs: 1800, betweenEventsTimeoutMs: 1080}),
			onEvents(events) {
				record.events.push(...events);
				record.text += events.map(event => event.kind === 'token' ? event.text : '').join('');
			},
			signal: caller.signal,
			...changes,
		};
		void this.#run(job, {
			hooks, parts, record, caller,
		});
		return record;
	}

	/** Disconnects the callers of all requests in progress. */
	abortCallers(): void {
		for (const caller of this.#callers) {
			caller.abort();
		}
	}

	/** Moves time until the request has ended, at most `limitMs`. */
	async settle(record: CallerRecord, limitMs = 60_000): Promise<CallerRecord> {
		for (let passed = 0; passed < limitMs && !record.isSettled; passed += stepMs) {
			await this.timers.advance(stepMs);
		}

		return record;
	}

	/** Publishes a state of an engine, as the authority does. */
	publish(id: string, state: 'serving' | 'closing'): void {
		this.version++;
		this.router.facts.merge({
			kind: 'upstream', key: id, version: this.version, value: {state: upstreamState[state]},
		});
	}

	/** Counts how often an engine started a request. */
	countStarted(): number {
		return [...this.engines.values()].reduce((sum, engine) => sum + engine.countStarted(), 0);
	}

	async #run(job: StreamJob, {hooks, parts, record, caller}: StartedRequest): Promise<void> {
		try {
			record.end = await runProcedure(serveStream(job, parts), hooks);
		} catch (error) {
			record.error = error;
		}

		record.isSettled = true;
		this.#callers.delete(caller);
	}

	#getConnection(placement: Placement, isFresh: boolean) {
		if (isFresh) {
			this.freshConnections++;
		}

		return {
			client: this.getEngine(placement.upstream.id),
			close: () => {
				this.closedConnections++;
			},
		};
	}
}

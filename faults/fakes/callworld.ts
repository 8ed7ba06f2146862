import {Buffer} from 'node:buffer';
import {Claims} from '../../src/claims/index.js';
import type {Upstream} from '../../src/deployment/index.js';
import {upstreamState} from '../../src/feed/index.js';
import {Metrics} from '../../src/metrics/index.js';
import {runProcedure} from '../../src/procedures/index.js';
import type {StepHooks} from '../../src/procedures/index.js';
import {serveKeyed, serveOnce, serveRepeatable} from '../../src/serving/index.js';
import type {CallOutcome, ClaimPort, KeyedCallDependencies} from '../../src/serving/index.js';
import {ManualTimers} from '../../src/timers/index.js';
import {FakeService} from './services.js';
import type {RunRecord} from './services.js';
import {FakePlatform, FakeStore} from './store.js';
import {FakeRouter} from './streams.js';

const stepMs = 20;
const serviceName = 'refunds';
const deadlineMs = 5000;

/** What a caller got for one call. */
export type CallRecord = {readonly id: string; outcome: CallOutcome | undefined; error: unknown; isSettled: boolean};

/** What a test may change about one call. */
export type CallChanges = {
	readonly key?: string;
	readonly body?: string;
	readonly isRepeatable?: boolean;
	readonly hooks?: StepHooks;
	readonly claims?: ClaimPort;
	readonly router?: FakeRouter;
};

/** Makes an instance of the application service. */
export function createInstance(id: string): Upstream {
	return {
		id, service: serviceName, domain: 'd1', address: `${id}:1`, fenced: false, pieces: 0,
	};
}

/** One entry's process of a {@link CallWorld}. */
export class CallEntry {
	readonly metrics = new Metrics();
	readonly store: FakeStore;
	readonly claims: Claims;
	readonly router: FakeRouter;
	#calls = 0;

	constructor(readonly world: CallWorld, readonly name: string) {
		this.store = new FakeStore(world.platform);
		this.claims = new Claims({
			store: this.store, timers: world.timers, metrics: this.metrics, getRandom: () => 0.5,
		});
		this.router = new FakeRouter([...world.services.keys()].map(id => createInstance(id)));
	}

	/** Starts a call; the record fills as it is served. */
	start({key, body = 'refund 7', isRepeatable = false, hooks = {}, claims = this.claims, router = this.router}: CallChanges = {}): CallRecord {
		this.#calls++;
		const {timers} = this.world;
		const job = {
			service: serviceName,
			caller: 'clerk-3',
			key: key ?? '',
			deadlineAt: timers.getNow() + deadlineMs,
			call: {
				id: `${this.name}-${this.#calls}`, method: 'POST', path: '/refunds', headers: {}, body: Buffer.from(body), isRepeatable,
			},
		};
		const parts: KeyedCallDependencies = {
			router, timers, metrics: this.metrics, claims, getClient: upstream => this.world.getService(upstream.id), signal: new AbortController().signal,
		};
		const serve = isRepeatable ? serveRepeatable : serveOnce;
		const record: CallRecord = {
			id: job.call.id, outcome: undefined, error: undefined, isSettled: false,
		};
		void runInto(record, async () => runProcedure(key === undefined ? serve(job, parts) : serveKeyed(job, parts), hooks));
		return record;
	}

	/** Publishes a state of an instance, as the authority does. */
	publish(id: string, state: 'serving' | 'closing', version: number): void {
		this.router.facts.merge({
			kind: 'upstream', key: id, version, value: {state: upstreamState[state]},
		});
	}
}

/** Two entries, two instances of a service that must not run a call twice, and the platform's store. */
export class CallWorld {
	readonly timers = new ManualTimers();
	readonly platform = new FakePlatform(this.timers);
	/** Every run of a call at any instance. */
	readonly runs: RunRecord[] = [];
	readonly services = new Map(['s1', 's2'].map(id => [id, new FakeService(id, this.runs)]));
	readonly first = new CallEntry(this, 'first');
	readonly second = new CallEntry(this, 'second');

	/** Gives one of the world's instances. */
	getService(id: string): FakeService {
		const service = this.services.get(id);
		if (!service) {
			throw new RangeError(`${id} is not of this world`);
		}

		return service;
	}

	/** Moves time until the call has ended, at most `limitMs`. */
	async settle(record: CallRecord, limitMs = 20_000): Promise<CallRecord> {
		for (let passed = 0; passed < limitMs && !record.isSettled; passed += stepMs) {
			await this.timers.advance(stepMs);
		}

		return record;
	}
}

async function runInto(record: CallRecord, run: () => Promise<CallOutcome>): Promise<void> {
	try {
		record.outcome = await run();
	} catch (error) {
		record.error = error;
	}

	record.isSettled = true;
}

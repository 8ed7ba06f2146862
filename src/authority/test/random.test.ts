import {expect} from 'chai';
import fc from 'fast-check';
import {FakeDomain, joinFacts} from '../../../faults/fakes/domain.js';
import type {FakeEntry} from '../../../faults/fakes/entry.js';
import {OperationRefusedError} from '../../errors/index.js';
import {operationKind} from '../../operations/index.js';
import type {OperationKind} from '../../operations/index.js';

/** A fault of an entry or an engine, or a request of the operators; the next event follows after `pauseMs`. */
type RandomEvent = {readonly kind: (typeof eventKinds)[number]; readonly entry: number; readonly engine: number; readonly pauseMs: number};

const eventKinds = [
	'stop',
	'resumeEntry',
	'abort',
	'stopFeed',
	'join',
	'stopAnswers',
	'sendLate',
	'closeStore',
	'openStore',
	'abortEngine',
	'setText',
	'setRole',
	'drain',
	'resume',
	'withdraw',
	'replace',
] as const;
const seeds = [1, 2, 3];
const runsPerSeed = 12;
const lateOrderDelayMs = 5000;
/** Delay of calls to engines, in milliseconds; long enough that some processes freeze between the check of the authority and the send. */
const clientDelayMs = 400;
const settleMs = 60_000;

const randomEvents = fc.array(fc.record({
	kind: fc.constantFrom(...eventKinds),
	entry: fc.integer({min: 0, max: 2}),
	engine: fc.integer({min: 1, max: 4}),
	pauseMs: fc.integer({min: 0, max: 14_000}),
}), {minLength: 2, maxLength: 10});

for (const isFenced of [true, false]) {
	describe(`random sequences of events over ${isFenced ? 'fenced' : 'unfenced'} engines`, () => {
		for (const seed of seeds) {
			it(`cause no conflicting order and end settled, seed ${seed}`, async () => {
				await fc.assert(fc.asyncProperty(randomEvents, async events => {
					await runEvents(events, isFenced, seed);
				}), {seed, numRuns: runsPerSeed});
			});
		}
	});
}

async function runEvents(events: readonly RandomEvent[], isFenced: boolean, seed: number): Promise<void> {
	const domain = new FakeDomain({seed, isFenced});
	await domain.start();
	for (const client of domain.entries.flatMap(entry => [...entry.clients.values()])) {
		client.delayMs = clientDelayMs;
	}

	for (const [index, event] of events.entries()) {
		await runEvent(domain, event, index);
		await domain.timers.advance(event.pauseMs);
	}

	domain.check();
	resumeAll(domain);
	await waitForRest(domain);
	domain.check();
	expect(domain.findHolder()).to.not.equal(undefined);
}

async function runEvent(domain: FakeDomain, {kind, entry: entryIndex, engine}: RandomEvent, index: number): Promise<void> {
	const entry = domain.entries[entryIndex];
	const id = `e${engine}`;
	if (!entry || domain.killed.includes(entry.vm)) {
		return;
	}

	const actions: Record<RandomEvent['kind'], () => Promise<void> | void> = {
		stop() {
			entry.gate.stop();
		},
		resumeEntry() {
			entry.gate.resume();
		},
		abort() {
			if (domain.killed.length === 0) {
				domain.abort(entry);
			}
		},
		stopFeed() {
			entry.isCut = true;
		},
		join() {
			joinEntry(domain, entry);
		},
		stopAnswers() {
			entry.store.lostAnswers++;
			for (const client of entry.clients.values()) {
				client.lostAnswers = 1;
			}
		},
		sendLate() {
			for (const client of entry.clients.values()) {
				client.late = 1;
				client.lateMs = lateOrderDelayMs;
			}
		},
		closeStore() {
			entry.store.isDown = true;
		},
		openStore() {
			entry.store.isDown = false;
		},
		abortEngine() {
			domain.engines.get(id)?.abort(1000);
		},
		setText() {
			domain.setText(String(index + 2));
		},
		setRole() {
			if (!domain.plan.some(({upstream}) => upstream === id)) {
				domain.plan.push({upstream: id, role: index % 2 === 0 ? 'decode' : 'prefill', reason: 'the mix shifted'});
			}
		},
		drain: async () => tryAsk(domain, `op-${index}`, operationKind.drain, id),
		resume: async () => tryAsk(domain, `op-${index}`, operationKind.resume, id),
		withdraw: async () => tryAsk(domain, `op-${index}`, operationKind.withdraw, id),
		replace: async () => tryAsk(domain, `op-${index}`, operationKind.replace, id, `e${(engine % 4) + 1}`),
	};
	await actions[kind]();
}

async function tryAsk(domain: FakeDomain, id: string, ...asked: readonly [kind: OperationKind, subject: string, replacement?: string]): Promise<void> {
	try {
		await domain.ask(id, ...asked);
	} catch (error) {
		if (!(error instanceof OperationRefusedError)) {
			throw error;
		}
	}
}

function joinEntry(domain: FakeDomain, entry: FakeEntry): void {
	entry.isCut = false;
	for (const other of domain.entries) {
		if (other !== entry) {
			joinFacts(entry, other);
		}
	}
}

function resumeAll(domain: FakeDomain): void {
	for (const entry of domain.entries.filter(({vm}) => !domain.killed.includes(vm))) {
		entry.gate.resume();
		entry.store.isDown = false;
		joinEntry(domain, entry);
	}
}

/** Waits until all is settled after the last fault. Sends of killed processes or with a lost answer may still block upstreams: an operator's confirmation or a restart of the engine ends that. */
async function waitForRest(domain: FakeDomain): Promise<void> {
	await domain.timers.advance(settleMs);
	if (await domain.isAtRest()) {
		return;
	}

	for (const vm of domain.killed) {
		await domain.ask(`stopped-${vm}`, operationKind.confirmStopped, vm);
	}

	await domain.timers.advance(settleMs);
	for (const id of listBlocked(domain)) {
		domain.engines.get(id)?.abort(1000);
	}

	await domain.waitFor('rest', async () => domain.isAtRest(), 2 * settleMs);
}

function listBlocked(domain: FakeDomain): readonly string[] {
	return Object.entries(domain.readRecord()?.upstreams ?? {}).filter(([, {senders}]) => senders.length > 0).map(([id]) => id);
}

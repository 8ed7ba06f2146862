import {listOperations, operationKind} from '../../src/operations/index.js';
import {domainName, FakeDomain} from '../fakes/domain.js';
import {faultName} from '../matrix.js';
import type {CellContext, FaultName} from '../matrix.js';
import {FaultInjector} from './inject.js';
import {createOptionsWithout} from './mechanisms.js';
import type {FaultedProcedure} from './procedures.js';

/** One fault at one step. */
export type FaultRun = {
	readonly procedure: FaultedProcedure;
	readonly step: string;
	readonly fault: FaultName;
	readonly isFenced: boolean;
};

const reachMs = 60_000;
const settleMs = 120_000;
const patienceMs = 60_000;

/** Runs one fault at one step and judges it by the journals; throws when something does not hold. */
export async function runFault({procedure, step, fault, isFenced}: FaultRun, {seed, without}: CellContext): Promise<void> {
	const injector = new FaultInjector(step, fault);
	const domain = new FakeDomain({
		seed,
		isFenced,
		...createOptionsWithout(without),
		async onBefore(entry, current) {
			await injector.onBefore(entry, current);
		},
		async onAfter(entry, current) {
			await injector.onAfter(entry, current);
		},
	});
	injector.domain = domain;
	domain.timers.startInterval(100, () => {
		void domain.stopWithdrawn();
	});
	await domain.start();
	await procedure.open?.(domain);
	await domain.waitFor('the preparation', async () => domain.isSettled(), settleMs);
	injector.isArmed = true;
	await procedure.start(domain);
	await domain.waitFor(`the step ${step}`, async () => injector.hit !== undefined, reachMs);
	await waitForEnd(domain);
	domain.check();
	checkAfterwards(domain, injector, {step, fault});
}

async function waitForEnd(domain: FakeDomain): Promise<void> {
	const isEnded = async () => isAwake(domain) && domain.isSettled();
	if (domain.killed.length === 0) {
		await domain.waitFor('the end after the fault', isEnded, settleMs);
		return;
	}

	const end = domain.timers.getNow() + patienceMs;
	while (domain.timers.getNow() < end) {
		if (await isEnded()) {
			return;
		}

		await domain.timers.advance(1000);
	}

	// A dead sender to an unfenced engine: only an operator can say that nothing of it will arrive.
	await checkExplained(domain);
	for (const vm of domain.killed) {
		await domain.ask(`stopped-${vm}`, operationKind.confirmStopped, vm);
	}

	await domain.waitFor('the end after the operator vouched', isEnded, settleMs);
}

/** Asks whether every entry runs that was not killed. */
function isAwake(domain: FakeDomain): boolean {
	return domain.entries.every(entry => !entry.gate.isFrozen || domain.killed.includes(entry.vm));
}

async function checkExplained(domain: FakeDomain): Promise<void> {
	const operations = await listOperations(domain.operators, domainName);
	const waits = domain.findHolder()?.authority.listWaits() ?? [];
	if (waits.length === 0 && !operations.some(({detail}) => detail !== '')) {
		throw new RangeError(`nobody says what is waited for: ${await domain.explainState()}`);
	}
}

function checkAfterwards(domain: FakeDomain, injector: FaultInjector, {step, fault}: Pick<FaultRun, 'step' | 'fault'>): void {
	if (fault === faultName.operatorRace && injector.taken > 1) {
		throw new RangeError('both operators of a race were taken in');
	}

	if (fault === faultName.freezePastLease && step.startsWith('check the authority')) {
		const stale = [...domain.engines.values()].flatMap(({journal}) => journal.filter(({effect}) => effect === 'stale'));
		if (stale.length > 0) {
			throw new RangeError(`${stale[0]?.from} sent ${stale[0]?.order.kind} though its lease had lapsed before its check`);
		}
	}
}

import {expect} from 'chai';
import {FakeDomain} from '../../../faults/fakes/domain.js';
import type {FakeEntry} from '../../../faults/fakes/entry.js';
import {operationKind} from '../../operations/index.js';
import type {Step} from '../../procedures/index.js';

const seed = 1;
const engineId = 'e1';
const steps = [
	'write the intention to drain',
	'check the authority to drain',
	'send drain',
	'read the engine after drain',
	'write the confirmation',
] as const;
const restartMs = 500;
const moments = ['onBefore', 'onAfter'] as const;

/** A domain whose holder freezes once at a step of a drain, and wakes when another entry holds the authority. */
class HandoverDomain {
	readonly domain: FakeDomain;
	frozen: FakeEntry | undefined;

	constructor(isFenced: boolean, step: string, moment: (typeof moments)[number]) {
		const stopAtStep = async (entry: FakeEntry, {name}: Step) => {
			if (name === step && !this.frozen) {
				this.frozen = entry;
				entry.gate.stop();
			}
		};

		this.domain = new FakeDomain({seed, isFenced, [moment]: stopAtStep});
	}

	/** Drains an engine over the hand-over, and runs until all is settled. With a restart, the holder wakes as the engine has just restarted. */
	async run(isRestarting = false): Promise<void> {
		const {domain} = this;
		await domain.start();
		await domain.ask('1', operationKind.drain, engineId);
		await domain.waitFor('the freeze', async () => this.frozen !== undefined, 30_000);
		await domain.waitFor('the next holder', async () => domain.findHolder() !== undefined, 60_000);
		expect(domain.findHolder()).to.not.equal(this.frozen);
		if (isRestarting) {
			await domain.timers.advance(20_000);
			domain.engines.get(engineId)!.abort(restartMs);
			await domain.timers.advance(restartMs);
		}

		this.frozen?.gate.resume();
		await domain.waitFor('the drain', async () => domain.isSettled(), 60_000);
	}

	/** Lists the drain orders that took effect, each as often as it did. */
	listApplied(): string[] {
		return this.domain.engines.get(engineId)!.journal.filter(({order, effect}) => order.kind === 'drain' && effect === 'applied').map(({order}) => order.id);
	}
}

for (const isFenced of [true, false]) {
	describe(`a hand-over of the authority over ${isFenced ? 'fenced' : 'unfenced'} engines`, () => {
		for (const step of steps) {
			for (const moment of moments) {
				it(`has a drain take effect once when the holder is frozen past its lease, ${moment === 'onBefore' ? 'before' : 'after'} "${step}"`, async () => {
					const handover = new HandoverDomain(isFenced, step, moment);
					await handover.run();
					handover.domain.check();
					expect(handover.listApplied()).to.have.lengthOf(1);
					expect(handover.domain.entries.filter(({authority}) => authority.isHolder())).to.have.lengthOf(1);
				});
			}
		}

		it('has no late order take effect when the engine restarts before the frozen holder wakes', async () => {
			const handover = new HandoverDomain(isFenced, 'check the authority to drain', 'onAfter');
			await handover.run(true);
			handover.domain.check();
		});

		it('never has two holders while the holder stops, is frozen, or is cut off from the store', async () => {
			const domain = new FakeDomain({seed, isFenced});
			await domain.start();
			for (let round = 0; round < 30; round++) {
				const holder = domain.findHolder();
				if (holder && round % 2 === 0) {
					holder.gate.stop();
				} else if (holder) {
					holder.store.isDown = true;
				}

				for (let passedMs = 0; passedMs < 15_000; passedMs += 100) {
					await domain.timers.advance(100);
					expect(domain.entries.filter(({authority}) => authority.isHolder()).length).to.be.at.most(1);
				}

				holder?.gate.resume();
				for (const {store} of domain.entries) {
					store.isDown = false;
				}

				expect(domain.entries.filter(({authority}) => authority.isHolder()).length).to.be.at.most(1);
				await domain.waitFor('a holder', async () => domain.findHolder() !== undefined, 30_000);
			}

			domain.check();
		});
	});
}

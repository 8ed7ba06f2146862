import {getEventListeners} from 'node:events';
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {expect} from 'chai';
import {CallWorld} from '../../../faults/fakes/callworld.js';
import {serviceFault} from '../../../faults/fakes/services.js';
import {createAnswer, engineFault} from '../../../faults/fakes/streams.js';
import {StreamWorld} from '../../../faults/fakes/streamworld.js';
import {RandomSource} from '../../rates/index.js';

const rounds = 40;
const batchSize = 100;
const answerTokens = 6;
const maxGrowthBytes = 8_000_000;
const engineFaults = Object.values(engineFault);
const serviceFaults = Object.values(serviceFault).filter(fault => fault !== serviceFault.silent);

setFlagsFromString('--expose-gc');
const runCollector = runInNewContext('gc') as () => void;

function measureHeap(): number {
	runCollector();
	return process.memoryUsage().heapUsed;
}

describe('a long run with faults', () => {
	const warnings: string[] = [];
	const onWarning = ({name}: Error) => {
		warnings.push(name);
	};

	before(() => {
		process.on('warning', onWarning);
	});

	after(() => {
		process.off('warning', onWarning);
	});

	it('leaks no stream, timer or memory', async () => {
		const random = new RandomSource(3);
		const pick = <Item>(items: readonly Item[]) => items[random.pickIndex(items.length)]!;
		const world = new StreamWorld();
		let wholeCount = 0;
		let startHeapBytes = 0;
		for (let round = 0; round < rounds; round++) {
			const records = Array.from({length: batchSize}, (_, index) => {
				for (const engine of world.engines.values()) {
					engine.faults.push({fault: pick(engineFaults), at: random.pickIndex(answerTokens)});
				}

				return world.start({request: world.createWork(`r${round}-${index}`, answerTokens), prompt: 'p', offset: 0});
			});
			for (const record of records) {
				await world.settle(record);
				expect(record.end === undefined || record.text === createAnswer('p', answerTokens)).to.equal(true);
				expect(getEventListeners(record.signal, 'abort')).to.have.lengthOf(0);
				wholeCount += record.end ? 1 : 0;
			}

			expect(world.timers.countPending()).to.equal(0);
			expect(world.router.countInFlight('e1') + world.router.countInFlight('e2')).to.equal(0);
			expect(world.router.ends.length).to.equal(world.router.sent);
			for (const engine of world.engines.values()) {
				expect(engine.open).to.equal(0);
				engine.journal.length = 0;
				engine.faults.length = 0;
			}

			startHeapBytes = round === 4 ? measureHeap() : startHeapBytes;
		}

		expect(wholeCount).to.be.greaterThan(rounds * batchSize / 2);
		expect(warnings).to.not.include('MaxListenersExceededWarning');
		expect(measureHeap() - startHeapBytes).to.be.below(maxGrowthBytes);
	});

	it('keeps the claim tables bounded', async () => {
		const random = new RandomSource(4);
		const pick = <Item>(items: readonly Item[]) => items[random.pickIndex(items.length)]!;
		const world = new CallWorld();
		let runCount = 0;
		for (let round = 0; round < rounds; round++) {
			world.first.store.lostAnswers = round % 3;
			world.first.store.isDown = round % 7 === 3;
			const records = Array.from({length: batchSize}, (_, index) => {
				world.getService('s1').faults.push(pick(serviceFaults));
				return world.first.start({key: `${round}-${index}`});
			});
			for (const record of records) {
				await world.settle(record);
			}

			runCount += world.runs.length;
			expect(new Set(world.runs.map(({id}) => id)).size).to.equal(world.runs.length);
			world.runs.length = 0;
			world.getService('s1').faults.length = 0;
			world.first.store.isDown = false;
			await world.timers.advance(3000);
			expect(world.first.claims.countHeld().waiting).to.equal(0);
			expect(world.first.claims.countHeld().unsettled).to.equal(0);
			expect(world.first.claims.countHeld().writers).to.be.at.most(32);
		}

		expect(runCount).to.be.greaterThan(rounds * batchSize / 3);
		expect(world.timers.countPending()).to.equal(0);
	});
});

import {expect} from 'chai';
import {FakePlatform, FakeStore} from '../../../faults/fakes/store.js';
import {
	BadRequestError, ConfigurationConflictError, InvalidTextError, StoreUnavailableError,
} from '../../errors/index.js';
import {runProcedure} from '../../procedures/index.js';
import {ManualTimers} from '../../timers/index.js';
import {applyConfiguration} from '../index.js';

function createText(name: string): string {
	return `[deployment]\nname = "${name}"\ndomains = ["a"]\n[services]\n`;
}

async function getFailure(promise: Promise<unknown>): Promise<unknown> {
	try {
		await promise;
	} catch (error) {
		return error;
	}

	return undefined;
}

describe('applyConfiguration', () => {
	let platform: FakePlatform;
	let store: FakeStore;
	const published: number[] = [];

	beforeEach(() => {
		platform = new FakePlatform(new ManualTimers());
		store = new FakeStore(platform);
		published.length = 0;
	});

	async function apply(name: string, base: number, operation: string) {
		return runProcedure(applyConfiguration({text: createText(name), base, operation}, {
			store,
			getVersion: () => 0,
			publish(applied) {
				published.push(applied.version);
			},
		}));
	}

	it('accepts a configuration based on the stored version, and the next one based on that', async () => {
		expect(await apply('one', 0, 'op-1')).to.include({version: 1, isRepeat: false});
		expect(await apply('two', 1, 'op-2')).to.include({version: 2, isRepeat: false});
		expect(published).to.deep.equal([1, 2]);
		expect(platform.journal).to.have.length(2);
	});

	it('rejects a configuration based on an old version with the stored version and the difference, and writes nothing', async () => {
		await apply('one', 0, 'op-1');
		const failure = await getFailure(apply('two', 0, 'op-2'));
		expect(failure).to.be.instanceOf(ConfigurationConflictError);
		expect(failure).to.deep.include({version: 1, base: 0, difference: '~ deployment head: name "one" -> "two"'});
		expect(platform.journal).to.have.length(1);
	});

	it('accepts exactly one of two concurrent configurations', async () => {
		const failures = await Promise.all([getFailure(apply('one', 0, 'op-1')), getFailure(apply('two', 0, 'op-2'))]);
		expect(failures.filter(failure => failure === undefined)).to.have.length(1);
		expect(failures.filter(failure => failure instanceof ConfigurationConflictError)).to.have.length(1);
		expect(platform.journal).to.have.length(1);
	});

	it('reads the record back to find out whether a write with a lost answer took effect', async () => {
		store.lostAnswers = 1;
		expect(await apply('one', 0, 'op-1')).to.include({version: 1, isRepeat: true});
		expect(platform.journal).to.have.length(1);
	});

	it('reports a repeated operation as accepted before, even after others were accepted', async () => {
		await apply('one', 0, 'op-1');
		await apply('two', 1, 'op-2');
		expect(await apply('one', 0, 'op-1')).to.include({version: 1, isRepeat: true});
		expect(platform.journal).to.have.length(2);
	});

	it('rejects an id that was used for another text, an invalid text, and any text while the store is down', async () => {
		await apply('one', 0, 'op-1');
		expect(await getFailure(apply('two', 1, 'op-1'))).to.be.instanceOf(BadRequestError);
		expect(await getFailure(apply('no name!', 1, 'op-2'))).to.be.instanceOf(InvalidTextError);
		store.isDown = true;
		expect(await getFailure(apply('two', 1, 'op-3'))).to.be.instanceOf(StoreUnavailableError);
		expect(platform.journal).to.have.length(1);
	});
});

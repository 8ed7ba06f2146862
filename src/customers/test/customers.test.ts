import {inspect} from 'node:util';
import {expect} from 'chai';
import {ManualTimers} from '../../timers/index.js';
import {
	Credential, CustomerAccess, CustomerTable, KnowledgeAge,
} from '../index.js';

const bounds = {maxAgeMs: 4900, maxNewKeyAgeMs: 3000};
const north = {name: 'north', priority: 1, keys: ['k-n1', 'k-n2']};
const south = {name: 'south', priority: undefined, keys: ['k-s']};

describe('CustomerTable', () => {
	it('gives a key that several customers list to the first, so that its requests never change customers within a configuration', () => {
		const table = new CustomerTable([north, {...south, keys: ['k-n1', 'k-s']}]);
		expect(['k-n1', 'k-s', 'k-x', ''].map(key => table.findByKey(key)?.name)).to.deep.equal(['north', 'south', undefined, undefined]);
		expect([table.has('north', 'k-n1'), table.has('south', 'k-n1'), table.size, table.keyCount]).to.deep.equal([true, false, 2, 3]);
	});

	it('knows no customer by the name of a property of objects', () => {
		const table = new CustomerTable([north]);
		expect(['constructor', '__proto__', 'toString'].map(key => table.findByKey(key))).to.deep.equal([undefined, undefined, undefined]);
	});
});

describe('Credential', () => {
	it('shows its key in no text that is made of it', () => {
		const credential = new Credential({name: 'north', priority: 1}, 'k-n1');
		expect(`${inspect(credential, {showHidden: true, depth: 9})} ${JSON.stringify(credential)} ${JSON.stringify({...credential})}`).to.not.include('k-n1');
	});
});

describe('KnowledgeAge', () => {
	let timers: ManualTimers;
	let age: KnowledgeAge;
	beforeEach(() => {
		timers = new ManualTimers();
		age = new KnowledgeAge(timers);
	});

	it('is not fresh before anything is known: a process that has just started serves no key', () => {
		expect([age.computeAgeMs(), age.isFresh(1e9)]).to.deep.equal([Number.POSITIVE_INFINITY, false]);
	});

	it('counts on from the age that knowledge had when it came, so that the times of all hops add up', async () => {
		age.onKnown(700);
		await timers.advance(300);
		expect(age.computeAgeMs()).to.equal(1000);
	});

	it('is not made older or younger by an answer that was held up', async () => {
		age.onKnown(100);
		await timers.advance(400);
		age.onKnown(2000);
		expect(age.computeAgeMs()).to.equal(500);
	});

	it('counts a suspension, which the monotonic clock does not show', () => {
		age.onKnown(100);
		timers.shiftWallTime(6000);
		expect(age.isFresh(bounds.maxAgeMs)).to.equal(false);
		age.onKnown(4);
		expect(age.computeAgeMs()).to.equal(4);
	});

	it('is not made younger when the time of day goes back', async () => {
		age.onKnown(0);
		timers.shiftWallTime(-2_400_000);
		await timers.advance(5000);
		expect(age.computeAgeMs()).to.equal(5000);
	});
});

describe('CustomerAccess', () => {
	let timers: ManualTimers;
	let access: CustomerAccess;
	beforeEach(() => {
		timers = new ManualTimers();
		access = new CustomerAccess(new KnowledgeAge(timers), () => bounds);
		access.apply(new CustomerTable([north, south]));
		access.age.onKnown(0);
	});

	const decideAll = () => ['k-n1', 'k-x', undefined].map(key => {
		const decision = access.decide(key);
		return decision instanceof Credential ? decision.customer.name : decision;
	});

	it('does not take a new key for a wrong one, nor a revoked one for valid, when its knowledge is old', async () => {
		expect(decideAll()).to.deep.equal(['north', 'unknown_key', 'unknown_key']);
		await timers.advance(3000);
		expect(decideAll()).to.deep.equal(['north', 'configuration_stale', 'unknown_key']);
		await timers.advance(1899);
		expect(decideAll()[0]).to.equal('north');
		await timers.advance(1);
		expect(decideAll()[0]).to.equal('configuration_stale');
	});

	it('refuses a request that was accepted earlier once its key is revoked, or belongs to another customer', () => {
		const credential = access.decide('k-n1') as Credential;
		expect(access.check(credential)).to.equal(undefined);
		access.apply(new CustomerTable([{...north, keys: ['k-n2']}, south]));
		expect(access.check(credential)).to.equal('unknown_key');
		access.apply(new CustomerTable([{...south, keys: ['k-n1']}]));
		expect(access.check(credential)).to.equal('unknown_key');
	});

	it('refuses a request that came before the configuration listed customers', () => {
		access.apply(undefined);
		expect([access.decide(undefined), access.check(undefined)]).to.deep.equal([undefined, undefined]);
		access.apply(new CustomerTable([north]));
		expect(access.check(undefined)).to.equal('unknown_key');
	});

	it('serves keys at any age where revocation does not fail closed', async () => {
		access = new CustomerAccess(new KnowledgeAge(timers), () => ({...bounds, maxAgeMs: Number.POSITIVE_INFINITY}));
		access.apply(new CustomerTable([north]));
		access.age.onKnown(0);
		await timers.advance(100_000);
		expect(decideAll()[0]).to.equal('north');
	});
});

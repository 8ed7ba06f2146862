import {expect} from 'chai';
import {Fleet} from '../../dispatch/index.js';
import {MessageLink, MessageNetwork} from '../../peers/index.js';
import {ManualTimers} from '../../timers/index.js';
import {listKeepers, PlaceKeeper, SharedPlaces} from '../index.js';
import type {PlaceAsk, PlaceMember} from '../index.js';

const ask: PlaceAsk = {
	service: 'llm', targetMs: 120, deadlineMs: 1800, patienceMs: 2000, serviceMs: 40, prefixBlocks: [], uniqueTokens: 10, outputTokens: 10, engineTokens: 1000, tried: [],
};
const members: readonly PlaceMember[] = ['a', 'b', 'c', 'd'].map(name => ({address: `${name}:1`, domain: 'one', cores: 1}));

class NoLink extends MessageLink {
	override send(): void {
		// Nobody is there.
	}

	override close(): void {
		// Nothing is open.
	}
}

/** Notes who is asked. */
class NotedNetwork extends MessageNetwork {
	readonly opened: string[] = [];

	override open(address: string): MessageLink {
		this.opened.push(address);
		return new NoLink();
	}

	override async serve(): Promise<void> {
		// Nobody asks this process.
	}

	override close(): void {
		// Nothing is open.
	}
}

describe('SharedPlaces', () => {
	it('asks the keeper of the entries that live now, after one has left or come', () => {
		const timers = new ManualTimers();
		const network = new NotedNetwork();
		let living = members;
		const keeper = new PlaceKeeper({
			timers, fleet: new Fleet(), pickUnit: () => 0.5, getShare: () => 1,
		});
		const places = new SharedPlaces({
			timers, pickUnit: () => 0.5, network, keeper, ownAddress: 'x:1', listMembers: () => living, onKeeper: () => undefined,
		});
		const first = listKeepers(ask.service, members, 1)[0]!;
		const rest = members.filter(({address}) => address !== first);
		void places.acquire(ask, new AbortController().signal);
		void places.acquire(ask, new AbortController().signal);
		expect(network.opened).to.deep.equal([first]);
		living = rest;
		void places.acquire(ask, new AbortController().signal);
		expect(network.opened).to.deep.equal([first, listKeepers(ask.service, rest, 1)[0]]);
		living = members;
		void places.acquire(ask, new AbortController().signal);
		expect(network.opened).to.have.lengthOf(2);
		places.stop();
	});
});

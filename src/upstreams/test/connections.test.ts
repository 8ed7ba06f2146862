import process from 'node:process';
import {setImmediate as waitTurn} from 'node:timers/promises';
import {expect} from 'chai';
import {defaultConnectionLimits, EngineConnections} from '../connections.js';

describe('EngineConnections', () => {
	it('can be renewed after it was closed, as an answer does that ends in doubt', async () => {
		const connections = new EngineConnections('127.0.0.1:1', defaultConnectionLimits);
		const failures: unknown[] = [];
		const onFailure = (error: unknown) => {
			failures.push(error);
		};

		const otherListeners = process.listeners('unhandledRejection');
		process.removeAllListeners('unhandledRejection');
		process.on('unhandledRejection', onFailure);
		await connections.close();
		connections.replaceStreamPool();
		connections.replaceControlPool();
		await waitTurn();
		await waitTurn();
		process.off('unhandledRejection', onFailure);
		for (const listener of otherListeners) {
			process.on('unhandledRejection', listener);
		}

		expect(failures).to.deep.equal([]);
	});
});

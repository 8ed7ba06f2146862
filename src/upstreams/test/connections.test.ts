import process from 'node:process';
import {setImmediate as waitTurn} from 'node:timers/promises';
import {expect} from 'chai';
import {defaultConnectionLimits, EngineConnections} from '../connections.js';

describe('EngineConnections', () => {
	it('does nothing when its pools are to be replaced after the close, as when an answer is given up late', async () => {
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

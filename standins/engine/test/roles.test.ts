import {expect} from 'chai';
import type {EngineRole} from '../../../src/deployment/index.js';
import {engineRole} from '../../../src/deployment/index.js';
import {CollectingSink, createEngine, createRequest} from './help.js';

type Workload = {readonly promptTokens: number; readonly maxTokens: number};

const prefillHeavy: Workload = {promptTokens: 8000, maxTokens: 100};
const decodeHeavy: Workload = {promptTokens: 300, maxTokens: 600};
const simulatedMs = 60_000;
const requestsInFlight = 40;

/** Runs one engine with a constant number of requests in flight, and counts the answers that it completes. */
async function countCompleted(role: EngineRole, workload: Workload): Promise<number> {
	const {timers, core} = createEngine({
		pieces: 200,
		setup: {
			role, model: 'contracts', version: '1', adapters: [],
		},
	});
	let sent = 0;
	let completed = 0;
	const sendNext = () => {
		sent++;
		const sink = new CollectingSink();
		core.startRequest(createRequest(`r${sent}`, workload), {
			onEvent(event) {
				sink.onEvent(event);
				if (event.kind === 'end') {
					completed++;
					queueMicrotask(sendNext);
				}
			},
			onCut() {
				throw new RangeError('the engine cut an answer in a test without faults');
			},
		});
	};

	for (let index = 0; index < requestsInFlight; index++) {
		sendNext();
	}

	await timers.advance(simulatedMs);
	core.close();
	return completed;
}

describe('roles of an engine', () => {
	it('serve prefill-heavy load much faster as prefill than as decode, and decode-heavy load the other way round', async () => {
		const completedCounts: Record<string, number> = {};
		for (const role of Object.values(engineRole)) {
			completedCounts[`${role} prefill-heavy`] = await countCompleted(role, prefillHeavy);
			completedCounts[`${role} decode-heavy`] = await countCompleted(role, decodeHeavy);
		}

		expect(completedCounts['prefill prefill-heavy']).to.be.greaterThan(completedCounts['decode prefill-heavy']! * 1.5);
		expect(completedCounts['decode decode-heavy']).to.be.greaterThan(completedCounts['prefill decode-heavy']! * 1.5);
		expect(completedCounts['prefill prefill-heavy']).to.be.greaterThan(completedCounts['mixed prefill-heavy']!);
		expect(completedCounts['decode decode-heavy']).to.be.greaterThan(completedCounts['mixed decode-heavy']!);
	});
});

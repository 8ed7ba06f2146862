import {expect} from 'chai';
import type {EngineRole} from '../../../src/deployment/index.js';
import {engineRole} from '../../../src/deployment/index.js';
import {Collected, createEngine, createRequest} from './help.js';

type Mix = {readonly promptTokens: number; readonly maxTokens: number};

const reading: Mix = {promptTokens: 8000, maxTokens: 100};
const drafting: Mix = {promptTokens: 300, maxTokens: 600};
const measuredMs = 60_000;
const requestsInFlight = 40;

/** Runs one engine under a steady backlog and counts the answers that ended. */
async function countEnded(role: EngineRole, mix: Mix): Promise<number> {
	const {timers, core} = createEngine({
		pieces: 200,
		setup: {
			role, model: 'contracts', version: '1', adapters: [],
		},
	});
	let sent = 0;
	let ended = 0;
	const sendNext = () => {
		sent++;
		const sink = new Collected();
		core.startRequest(createRequest(`r${sent}`, mix), {
			onEvent(event) {
				sink.onEvent(event);
				if (event.kind === 'end') {
					ended++;
					queueMicrotask(sendNext);
				}
			},
			onCut() {
				throw new RangeError('nothing cuts here');
			},
		});
	};

	for (let index = 0; index < requestsInFlight; index++) {
		sendNext();
	}

	await timers.advance(measuredMs);
	core.close();
	return ended;
}

describe('roles of an engine', () => {
	it('read much faster as prefill than as decode, and write much faster the other way round', async () => {
		const rows: Record<string, number> = {};
		for (const role of Object.values(engineRole)) {
			rows[`${role} reading`] = await countEnded(role, reading);
			rows[`${role} drafting`] = await countEnded(role, drafting);
		}

		expect(rows['prefill reading']).to.be.greaterThan(rows['decode reading']! * 1.5);
		expect(rows['decode drafting']).to.be.greaterThan(rows['prefill drafting']! * 1.5);
		expect(rows['prefill reading']).to.be.greaterThan(rows['mixed reading']!);
		expect(rows['decode drafting']).to.be.greaterThan(rows['mixed drafting']!);
	});
});

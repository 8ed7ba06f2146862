import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {APIError} from 'openai';
import {request as sendRequest} from 'undici';
import {Answer, engineEvent} from '../../../standins/engine/index.js';
import {EntryRig} from './rig.js';
import type {RigEntry} from './rig.js';
import {
	chat, content, getFinishReason, longChat, malformedChat, maxTokens, otherChat, parseStream, sendChat,
} from './wire.js';

const stream = {...chat, stream: true} as const;
const streamFaults = {
	'a broken connection': {breakAfter: 5}, silence: {silentAfter: 5}, 'an event of another request': {foreignAfter: 5}, 'a repeated event': {repeatAfter: 5},
};

function createExpectedText(tokens = maxTokens): string {
	const answer = new Answer({
		id: '', model: 'contracts', version: '1', prompt: `user: ${content}`, promptTokens: 1, maxTokens: tokens, offset: 0, priority: 0,
	});
	return Array.from({length: answer.tokenCount}, (_, offset) => {
		const event = answer.getEvent(offset);
		return event.kind === 'token' ? event.text : '';
	}).join('');
}

class ChatSetup {
	rig!: EntryRig;
	first!: RigEntry;
	second!: RigEntry;
}

describe('POST /v1/chat/completions', () => {
	const setup = new ChatSetup();

	async function readStream(entry: RigEntry, headers: Record<string, string> = {}) {
		const response = await sendChat(entry.address, stream, headers);
		const parsed = parseStream(response.text);
		return {...response, ...parsed, error: parsed.error ?? response.error};
	}

	beforeEach(async () => {
		const rig = new EntryRig();
		await rig.startEngine('e1', 'd1');
		await rig.startEngine('e2', 'd2');
		setup.rig = rig;
		setup.first = await rig.startEntry('vm-1', 'd1');
		setup.second = await rig.startEntry('vm-2', 'd2');
		rig.publishMembers();
	});

	afterEach(async () => {
		await setup.rig.close();
	});

	it('gives the official client the same text in one answer and streamed, and lists the models', async () => {
		const {client} = setup.first;
		const whole = await client.chat.completions.create(chat);
		expect(whole.choices[0]?.message.content).to.equal(createExpectedText());
		let streamed = '';
		let finishReason: string | undefined;
		for await (const chunk of await client.chat.completions.create(stream)) {
			streamed += chunk.choices[0]?.delta.content ?? '';
			finishReason = getFinishReason(chunk.choices[0]) ?? finishReason;
		}

		expect(streamed).to.equal(createExpectedText());
		expect(finishReason).to.equal('stop');
		const {data} = await client.models.list();
		expect(data.map(({id}) => id)).to.deep.equal(['contracts', 'contracts:spanish']);
	});

	for (const [name, fault] of Object.entries(streamFaults)) {
		it(`gives the complete answer despite ${name} in the engine's stream`, async () => {
			setup.rig.engines.get('e1')?.applyControl({streams: [fault]});
			const answer = await readStream(setup.first);
			expect(answer.text).to.equal(createExpectedText());
			expect(answer.isWhole).to.equal(true);
		});
	}

	it('resumes a stream at another entry after the last event that the caller received', async () => {
		const whole = await readStream(setup.first);
		const lastIndex = whole.ids.findIndex(id => id?.endsWith(':9'));
		const rest = await readStream(setup.second, {'last-event-id': whole.ids[lastIndex] ?? ''});
		expect(whole.texts.slice(0, lastIndex + 1).join('') + rest.text).to.equal(createExpectedText());
		expect(rest.isWhole).to.equal(true);
		expect(rest.ids.find(Boolean)?.endsWith(':10')).to.equal(true);
		const journal = setup.rig.engines.get('e1')?.core.journal.list() ?? [];
		expect(journal.filter(row => row.event === engineEvent.requestAttached)).to.have.lengthOf(1);
	});

	it('generates the rest of a resumed stream again after the engine crashed', async () => {
		const whole = await readStream(setup.first);
		setup.rig.engines.get('e1')?.applyControl({crash: true});
		const lastIndex = whole.ids.findIndex(id => id?.endsWith(':9'));
		const rest = await readStream(setup.first, {'last-event-id': whole.ids[lastIndex] ?? ''});
		expect(whole.texts.slice(0, lastIndex + 1).join('') + rest.text).to.equal(createExpectedText());
	});

	it('refuses to resume with an id that is forged, malformed, of another caller or of another request', async () => {
		const whole = await readStream(setup.first);
		const id = whole.ids.findLast(Boolean) ?? '';
		const {address} = setup.second;
		const refusals = await Promise.all([
			sendChat(address, stream, {'last-event-id': id.replace(/\.[^.]*:/v, '.AAAAAAAAAAAAAAAAAAAAAA:')}),
			sendChat(address, stream, {'last-event-id': id, authorization: 'Bearer another'}),
			sendChat(address, {...otherChat, stream: true}, {'last-event-id': id}),
			sendChat(address, stream, {'last-event-id': 'chatcmpl-%.%.%.%:1'}),
		]);
		for (const {status, error} of refusals) {
			expect([status, error?.code, error?.ran]).to.deep.equal([409, 'bad_resume', 'no']);
		}
	});

	it('relays to an entry of another failure domain, which counts the request as running on its engine', async () => {
		const {rig, first, second} = setup;
		first.router.onlyUpstream = rig.getUpstream('e2');
		let maxInProgress = 0;
		const timer = rig.timers.startInterval(1, () => {
			maxInProgress = Math.max(maxInProgress, second.router.countInFlight('e2'));
		});
		const answer = await readStream(first);
		timer.cancel();
		expect(answer.text).to.equal(createExpectedText());
		expect(answer.isWhole).to.equal(true);
		expect(maxInProgress).to.equal(1);
	});

	for (const [description, engineId, isClosing] of [
		['its engine, closed for new work and taken from the deployment meanwhile,', 'e1', true],
		['the engine of another failure domain, closed for new work meanwhile,', 'e2', true],
		['the engine of another failure domain', 'e2', false],
	] as const) {
		it(`gives the complete answer when ${description} is silent for 2.5 s and goes on`, async () => {
			const {rig, first} = setup;
			const engine = rig.engines.get(engineId)!;
			first.router.onlyUpstream = engineId === 'e2' ? rig.getUpstream('e2') : undefined;
			engine.applyControl({slowFactor: 3});
			const pending = sendChat(first.address, {...longChat, stream: true});
			while (engine.core.journal.list().every(row => row.event !== engineEvent.requestStarted)) {
				await sleep(5);
			}

			await sleep(100);
			engine.applyControl({silentMs: 2500});
			if (isClosing) {
				first.dependencies.facts.merge({
					kind: 'upstream', key: engineId, version: 1, value: {state: 'closing'},
				});
			}

			if (engineId === 'e1') {
				rig.upstreams.splice(0, 1);
			}

			const {status, text} = await pending;
			const answer = parseStream(text);
			expect(status).to.equal(200);
			expect(answer.isWhole).to.equal(true);
			expect(answer.text).to.equal(createExpectedText(longChat.max_completion_tokens));
			const events = engine.core.journal.list().map(row => row.event);
			expect(events.filter(event => event === engineEvent.requestStarted)).to.have.lengthOf(1);
			expect(events).to.not.include(engineEvent.requestCancelled);
		});
	}

	it('reports a relayed request as not run when its engine is closing in the other domain', async () => {
		const {rig, first, second} = setup;
		first.router.onlyUpstream = rig.getUpstream('e2');
		second.dependencies.facts.merge({
			kind: 'upstream', key: 'e2', version: 1, value: {state: 'closing'},
		});
		const refused = await sendChat(first.address, chat);
		expect([refused.status, refused.error?.ran]).to.deep.equal([503, 'no']);
		const journal = rig.engines.get('e2')?.core.journal.list() ?? [];
		expect(journal.filter(row => row.event === engineEvent.requestStarted)).to.have.lengthOf(0);
	});

	for (const [description, proof] of [['with a wrong proof', {'x-crocus-proof': '0'.repeat(64)}], ['without a proof', {}]] as const) {
		it(`refuses a relayed request ${description}, and runs nothing`, async () => {
			const answer = await sendRequest(`http://${setup.second.address}/internal/v1/generate`, {
				method: 'POST', headers: {'x-crocus-upstream': 'e2', ...proof}, body: '{"id":"x"}',
			});
			expect(answer.statusCode).to.equal(400);
			await answer.body.dump();
			expect(setup.rig.engines.get('e2')?.core.journal.list().filter(row => row.event === engineEvent.requestStarted)).to.deep.equal([]);
		});
	}

	it('transfers the KV cache from the prefill engine to the decode engine', async () => {
		const {rig, first} = setup;
		const prefillEngine = await rig.startEngine('e3', 'd1');
		first.router.onlyUpstream = rig.getUpstream('e1');
		first.router.prefillEngine = rig.getUpstream('e3');
		const answer = await readStream(first);
		expect(answer.text).to.equal(createExpectedText());
		const events = rig.engines.get('e1')?.core.journal.list().map(row => row.event);
		expect(events).to.include(engineEvent.kvImported);
		expect(prefillEngine.core.journal.list().map(row => row.event)).to.include(engineEvent.kvExported);
	});

	it('never marks a broken stream as complete', async () => {
		const {rig, first} = setup;
		const breaks = Array.from({length: 20}, () => ({breakAfter: 0}));
		rig.engines.get('e1')?.applyControl({streams: [{breakAfter: 5}, ...breaks]});
		const answer = await readStream(first);
		// On a busy machine the connection can break before the first event was read: the caller then gets an error instead of a stream.
		expect([[200, true], [502, false]]).to.deep.include([answer.status, answer.isCut]);
		expect(answer.isWhole).to.equal(false);
		expect(answer.text).not.to.contain('[DONE]');
		expect(answer.error?.ran).to.equal('unknown');
	});

	it('reports every malformed field and what was found in it', async () => {
		const {status, error} = await sendChat(setup.first.address, malformedChat);
		expect([status, error?.code, error?.ran]).to.deep.equal([400, 'bad_request', 'no']);
		expect(error?.problems?.map(({path, found}) => [path, found])).to.deep.equal([['model', '7'], ['messages.0.role', '"robot"'], ['max_tokens', '-1']]);
	});

	for (const [name, value] of [['x-deadline-ms', 'soon'], ['x-priority', '11'], ['authorization', 'Basic x']] as const) {
		it(`refuses ${name}: ${value}`, async () => {
			const {status, error} = await sendChat(setup.first.address, chat, {[name]: value});
			expect([status, error?.param]).to.deep.equal([400, `headers.${name}`]);
		});
	}

	it('gives the official client typed errors', async () => {
		let failure: unknown;
		try {
			await setup.first.client.chat.completions.create({...chat, model: 'unknown'});
		} catch (error) {
			failure = error;
		}

		expect(failure).to.be.instanceOf(APIError);
		expect(failure).to.include({status: 404, code: 'unknown_model'});
	});

	it('fails at the deadline that the caller set, with a time to come back', async () => {
		setup.rig.engines.get('e1')?.applyControl({streams: [{silentAfter: 0}]});
		const {status, headers, error} = await sendChat(setup.first.address, chat, {'x-deadline-ms': '200'});
		expect([status, headers['retry-after'], error?.code, error?.ran]).to.deep.equal([504, '1', 'deadline', 'unknown']);
	});
});

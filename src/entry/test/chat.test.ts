import {expect} from 'chai';
import {APIError} from 'openai';
import {request as sendRequest} from 'undici';
import {Answer, engineEvent} from '../../../standins/engine/index.js';
import {EntryRig} from './rig.js';
import type {RigEntry} from './rig.js';
import {
	chat, content, getFinish, malformedChat, maxTokens, otherChat, parseStream, sendChat,
} from './wire.js';

const stream = {...chat, stream: true} as const;
const faults = {
	'a break': {breakAfter: 5}, silence: {silentAfter: 5}, 'a crossed event': {foreignAfter: 5}, 'a repeated event': {repeatAfter: 5},
};

function createExpected(): string {
	const answer = new Answer({
		id: '', model: 'contracts', version: '1', prompt: `user: ${content}`, promptTokens: 1, maxTokens, offset: 0, priority: 0,
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
		const posted = await sendChat(entry.address, stream, headers);
		const parsed = parseStream(posted.text);
		return {...posted, ...parsed, error: parsed.error ?? posted.error};
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

	it('answers the official client whole and streamed, with the same text', async () => {
		const {client} = setup.first;
		const whole = await client.chat.completions.create(chat);
		expect(whole.choices[0]?.message.content).to.equal(createExpected());
		let streamed = '';
		let finish: string | undefined;
		for await (const chunk of await client.chat.completions.create(stream)) {
			streamed += chunk.choices[0]?.delta.content ?? '';
			finish = getFinish(chunk.choices[0]) ?? finish;
		}

		expect(streamed).to.equal(createExpected());
		expect(finish).to.equal('stop');
		const {data} = await client.models.list();
		expect(data.map(({id}) => id)).to.deep.equal(['contracts', 'contracts:spanish']);
	});

	for (const [name, fault] of Object.entries(faults)) {
		it(`gives the whole answer past ${name}`, async () => {
			setup.rig.engines.get('e1')?.applyControl({streams: [fault]});
			const answer = await readStream(setup.first);
			expect(answer.text).to.equal(createExpected());
			expect(answer.isWhole).to.equal(true);
		});
	}

	it('goes on at another entry after the event that the caller has last', async () => {
		const whole = await readStream(setup.first);
		const last = whole.ids.findIndex(id => id?.endsWith(':9'));
		const rest = await readStream(setup.second, {'last-event-id': whole.ids[last] ?? ''});
		expect(whole.texts.slice(0, last + 1).join('') + rest.text).to.equal(createExpected());
		expect(rest.isWhole).to.equal(true);
		expect(rest.ids.find(Boolean)?.endsWith(':10')).to.equal(true);
		const journal = setup.rig.engines.get('e1')?.core.journal.list() ?? [];
		expect(journal.filter(row => row.event === engineEvent.requestAttached)).to.have.lengthOf(1);
	});

	it('generates the rest anew where the engine no longer has the request', async () => {
		const whole = await readStream(setup.first);
		setup.rig.engines.get('e1')?.applyControl({crash: true});
		const last = whole.ids.findIndex(id => id?.endsWith(':9'));
		const rest = await readStream(setup.first, {'last-event-id': whole.ids[last] ?? ''});
		expect(whole.texts.slice(0, last + 1).join('') + rest.text).to.equal(createExpected());
	});

	it('refuses an id that is forged, of another caller or of another body', async () => {
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

	it('relays to an entry of another domain, which counts the request as its own', async () => {
		const {rig, first, second} = setup;
		first.router.only = rig.getUpstream('e2');
		let mostRunning = 0;
		const timer = rig.timers.startInterval(1, () => {
			mostRunning = Math.max(mostRunning, second.router.countInFlight('e2'));
		});
		const answer = await readStream(first);
		timer.cancel();
		expect(answer.text).to.equal(createExpected());
		expect(answer.isWhole).to.equal(true);
		expect(mostRunning).to.equal(1);
	});

	it('shows a relayed refusal as not run when the engine is closed in its own domain', async () => {
		const {rig, first, second} = setup;
		first.router.only = rig.getUpstream('e2');
		second.parts.facts.merge({
			kind: 'upstream', key: 'e2', version: 1, value: {state: 'closing'},
		});
		const refused = await sendChat(first.address, chat);
		expect([refused.status, refused.error?.ran]).to.deep.equal([503, 'no']);
		const journal = rig.engines.get('e2')?.core.journal.list() ?? [];
		expect(journal.filter(row => row.event === engineEvent.requestStarted)).to.have.lengthOf(0);
	});

	it('takes no relayed request without the deployment\'s proof', async () => {
		const answer = await sendRequest(`http://${setup.second.address}/internal/v1/generate`, {
			method: 'POST', headers: {'x-crocus-upstream': 'e2', 'x-crocus-proof': '0'.repeat(64)}, body: '{"id":"x"}',
		});
		expect(answer.statusCode).to.equal(400);
		await answer.body.dump();
	});

	it('moves the KV cache to the engine that decodes', async () => {
		const {rig, first} = setup;
		const prefiller = await rig.startEngine('e3', 'd1');
		first.router.only = rig.getUpstream('e1');
		first.router.prefill = rig.getUpstream('e3');
		const answer = await readStream(first);
		expect(answer.text).to.equal(createExpected());
		const events = rig.engines.get('e1')?.core.journal.list().map(row => row.event);
		expect(events).to.include(engineEvent.kvImported);
		expect(prefiller.core.journal.list().map(row => row.event)).to.include(engineEvent.kvExported);
	});

	it('never ends a broken stream as whole', async () => {
		const {rig, first} = setup;
		const breaks = Array.from({length: 20}, () => ({breakAfter: 0}));
		rig.engines.get('e1')?.applyControl({streams: [{breakAfter: 5}, ...breaks]});
		const answer = await readStream(first);
		// On a busy machine the connection breaks before the first event was read: then the caller has no stream at all.
		expect([[200, true], [502, false]]).to.deep.include([answer.status, answer.isCut]);
		expect(answer.isWhole).to.equal(false);
		expect(answer.text).not.to.contain('[DONE]');
		expect(answer.error?.ran).to.equal('unknown');
	});

	it('names every malformed field with what was found and what is allowed', async () => {
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

	it('gives up at the caller\'s own deadline with a time to come back', async () => {
		setup.rig.engines.get('e1')?.applyControl({streams: [{silentAfter: 0}]});
		const {status, headers, error} = await sendChat(setup.first.address, chat, {'x-deadline-ms': '200'});
		expect([status, headers['retry-after'], error?.code, error?.ran]).to.deep.equal([504, '1', 'deadline', 'unknown']);
	});
});

import {expect} from 'chai';
import fc from 'fast-check';
import {BadRequestError} from '../../errors/index.js';
import {hashRequest, parseChat} from '../request.js';

const seed = 5;
const message = {role: 'user', content: 'x'};

function getProblems(body: unknown): readonly string[] {
	try {
		parseChat(body);
		return [];
	} catch (error) {
		expect(error).to.be.instanceOf(BadRequestError);
		return (error as InstanceType<typeof BadRequestError>).problems.map(({path}) => path);
	}
}

describe('parseChat', () => {
	it('takes the adapter from the model\'s name', () => {
		expect(parseChat({model: 'contracts:spanish', messages: [message]})).to.include({model: 'contracts', adapter: 'spanish'});
		expect(parseChat({model: 'contracts', messages: [message]})).to.include({model: 'contracts', adapter: undefined});
	});

	it('joins the parts of a message\'s content', () => {
		const body = {model: 'm', messages: [{role: 'user', content: [{type: 'text', text: 'a'}, {type: 'text', text: 'b'}]}]};
		expect(parseChat(body).prompt).to.equal('user: ab');
	});

	for (const [body, path] of [
		[undefined, 'body'],
		[[], 'body'],
		[{messages: [message]}, 'model'],
		[{model: 'm', messages: []}, 'messages'],
		[{model: 'm', messages: [{role: 'user'}]}, 'messages.0.content'],
		[{model: 'm', messages: [message], stream: 'yes'}, 'stream'],
		[{model: 'm', messages: [message], n: 2}, 'n'],
	] as const) {
		it(`reports a problem at ${path} in ${JSON.stringify(body) ?? 'nothing'}`, () => {
			expect(getProblems(body)).to.deep.equal([path]);
		});
	}

	it('reports typed problems in arbitrary JSON', () => {
		fc.assert(fc.property(fc.jsonValue(), body => {
			expect(getProblems(body).length).to.be.greaterThan(0);
		}), {seed});
	});
});

describe('hashRequest', () => {
	it('differs by caller, version, prompt, adapter and maximum tokens', () => {
		const request = parseChat({model: 'm', messages: [message]});
		const hashes = new Set([
			hashRequest('a', '1', request),
			hashRequest('b', '1', request),
			hashRequest('a', '2', request),
			hashRequest('a', '1', {...request, prompt: 'y'}),
			hashRequest('a', '1', {...request, adapter: 'z'}),
			hashRequest('a', '1', {...request, maxTokens: 1}),
		]);
		expect(hashes.size).to.equal(6);
	});
});

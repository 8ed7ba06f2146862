import {expect} from 'chai';
import fc from 'fast-check';
import {NotRunError} from '../../errors/index.js';
import {RequestIds} from '../ids.js';

const seed = 11;

describe('RequestIds', () => {
	const ids = new RequestIds('a secret of the tests');
	const name = fc.string({minLength: 1, maxLength: 20});

	it('parses the ids that it formatted, with any characters in the names', () => {
		fc.assert(fc.property(name, name, fc.nat(100_000), (domain, engine, lastOffset) => {
			const nonce = ids.createNonce();
			const id = ids.format({domain, engine, nonce}, 'caller and body');
			expect(ids.parseEventId(`${id}:${lastOffset}`, 'caller and body')).to.deep.equal({
				domain, engine, nonce, offset: lastOffset + 1,
			});
		}), {seed});
	});

	it('refuses an id that was changed, or with another caller, body or secret', () => {
		const id = ids.format({domain: 'd1', engine: 'e1', nonce: ids.createNonce()}, 'binding');
		fc.assert(fc.property(fc.nat(id.length - 1), fc.constantFrom('x', 'Y', '.', '7', ':'), (index, letter) => {
			fc.pre(id[index] !== letter);
			const changed = `${id.slice(0, index)}${letter}${id.slice(index + 1)}:3`;
			expect(() => ids.parseEventId(changed, 'binding')).to.throw(NotRunError);
		}), {seed});
		expect(() => ids.parseEventId(`${id}:3`, 'another')).to.throw(NotRunError);
		expect(() => new RequestIds('another secret of it').parseEventId(`${id}:3`, 'binding')).to.throw(NotRunError);
	});

	it('throws NotRunError for any other text', () => {
		fc.assert(fc.property(fc.oneof(fc.string({maxLength: 500}), fc.string().map(text => `chatcmpl-${text}:1`)), text => {
			expect(() => ids.parseEventId(text, 'binding')).to.throw(NotRunError);
		}), {seed});
	});
});

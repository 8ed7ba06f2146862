import {expect} from 'chai';
import {InvalidTextError} from '../../errors/index.js';
import {parseEntrySettings} from '../index.js';

const validText = `vm = "vm-1"
domain = "kigali-1"
http = "127.0.0.1:8001"
peer = "127.0.0.1:9001"
platform = "http://127.0.0.1:7000"
secret = "sixteen letters!"
`;

describe('parseEntrySettings', () => {
	it('parses valid settings and fills in the defaults', () => {
		expect(parseEntrySettings(validText)).to.deep.include({seeds: [], vm: 'vm-1'});
	});

	it('reports every problem with its line, without showing the secret', () => {
		let failure: unknown;
		try {
			parseEntrySettings(validText.replace('9001', '99001').replace('secret = "sixteen letters!"', 'secret = "short"\nseed = []'), 'entry.toml');
		} catch (error) {
			failure = error;
		}

		expect(failure).to.be.instanceOf(InvalidTextError);
		const {message} = failure as Error;
		expect(message).to.include('entry.toml:4: peer').and.to.include('entry.toml:6: secret').and.to.include('entry.toml:7: seed').and.to.include('did you mean seeds?');
		expect(message).not.to.include('"short"');
	});
});

import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import fc from 'fast-check';
import {ChunkBuffer} from '../index.js';

// Guards against a body whose cost is its number of chunks: 100,000 chunks of a byte cost 50 MB.
describe('a chunk buffer', () => {
	it('returns the bytes as they came, whatever their chunks', () => {
		fc.assert(fc.property(fc.array(fc.uint8Array({maxLength: 9000}), {maxLength: 20}), chunks => {
			const buffer = new ChunkBuffer();
			let grownBytes = 0;
			for (const chunk of chunks) {
				grownBytes += buffer.add(chunk);
			}

			expect(grownBytes).to.equal(buffer.capacityBytes);
			expect(Buffer.compare(buffer.joinChunks(), Buffer.concat(chunks))).to.equal(0);
		}), {numRuns: 200});
	});

	it('takes little more than the bytes of a body, also when its chunks have one byte each', () => {
		const buffer = new ChunkBuffer();
		for (let count = 0; count < 100_000; count++) {
			buffer.add(Uint8Array.of(count));
		}

		expect(buffer.capacityBytes).to.be.within(100_000, 165_536);
		for (let count = 0; count < 64; count++) {
			buffer.add(new Uint8Array(65_536));
		}

		expect(buffer.capacityBytes - buffer.lengthBytes).to.be.at.most(65_536);
	});

	it('keeps a single chunk without a copy', () => {
		const chunk = Buffer.from('body');
		const buffer = new ChunkBuffer();
		buffer.add(chunk);
		expect(buffer.joinChunks()).to.equal(chunk);
	});
});

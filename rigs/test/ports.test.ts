import {execFileSync} from 'node:child_process';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {expect} from 'chai';
import {findFreeAddresses} from '../ports.js';

const portsModule = fileURLToPath(new URL('../ports.js', import.meta.url));

describe('findFreeAddresses', () => {
	it('finds addresses that no other process finds, and none twice', async () => {
		const own = [...await findFreeAddresses(20), ...await findFreeAddresses(20)];
		expect(new Set(own)).to.have.lengthOf(40);
		const script = `const {findFreeAddresses} = await import(${JSON.stringify(portsModule)}); console.log((await findFreeAddresses(1))[0]);`;
		const other = execFileSync(process.execPath, ['--input-type=module', '-e', script]).toString();
		expect(own[0]!.split(':')[0]).to.not.equal(other.split(':')[0]);
	});
});

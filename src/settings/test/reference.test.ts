import {readFileSync} from 'node:fs';
import {expect} from 'chai';
// Imports a file that is not public, to compare the documentation with the schemas themselves.
import * as schemas from '../../deployment/wire.js';
import {entrySchema} from '../settings.js';

type Shape = Readonly<Record<string, {safeParse: (value: unknown) => {success: boolean; data?: unknown}}>>;

const reference = readFileSync('docs/SETTINGS.md', 'utf8');

function listRows(section: string): string[] {
	const rows = reference.split('\n').filter(line => line.startsWith(`| \`${section}`));
	return rows.map(row => row.split('|').slice(2, 4).map(cell => cell.trim()).join(' '));
}

function listKeys(shape: Shape): string[] {
	return Object.entries(shape).map(([key, schema]) => `\`${key}\` ${formatDefault(schema)}`);
}

function formatDefault(schema: Shape[string]): string {
	const result = schema?.safeParse(undefined);
	const value = result?.success ? JSON.stringify(result.data) : 'required';
	return value === '[]' ? '`[]`' : value;
}

describe('docs/SETTINGS.md', () => {
	const sections: ReadonlyArray<readonly [string, Record<string, unknown>]> = [
		['[deployment]', schemas.headSchema.shape],
		['[callers]', schemas.callersSchema.shape],
		['[[upstreams]]', schemas.upstreamSchema.shape],
		['[services.NAME]', {...schemas.modelSchema.shape, ...schemas.applicationSchema.shape, kind: undefined}],
	];
	for (const [section, shape] of sections) {
		it(`lists exactly the keys of ${section}, each with its default`, () => {
			expect(listRows(section)).to.have.members(listKeys(shape as Shape));
		});
	}

	it('lists exactly the keys of an entry\'s settings, each with its default', () => {
		const [, after = ''] = reference.split('## An entry\'s settings');
		const [entrySection = ''] = after.split('## How');
		const rows = entrySection.split('\n').filter(line => line.startsWith('| `')).map(line => line.split('|').slice(1, 3).map(cell => cell.trim()).join(' '));
		expect(rows).to.have.members(listKeys(entrySchema.shape));
	});
});

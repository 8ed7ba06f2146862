import {expect} from 'chai';
import {InvalidTextError} from '../../errors/index.js';
import type {ValidationProblem} from '../../errors/index.js';
import {
	compareDeployments, formatDifferences, parseDeployment,
} from '../index.js';

const validText = `# The cups of Kigali.
[deployment]
name = "umuhora"
domains = ["kigali-1", "kigali-2"]

[services.contracts]
kind = "model"
model = "contracts"
version = "1"
deadline_ms = 30000
depends_on = ["refunds"]

[services.refunds]
kind = "application"
deadline_ms = 2000
non_repeatable = ["POST /refunds"]

[[upstreams]]
id = "engine-1"
service = "contracts"
domain = "kigali-1"
address = "10.0.0.1:7101"
pieces = 64

[[upstreams]]
id = "refunds-1"
service = "refunds"
domain = "kigali-2"
address = "10.0.0.2:7201"
`;

function listProblems(text: string): readonly ValidationProblem[] {
	try {
		parseDeployment(text, 'cups.toml');
	} catch (error) {
		if (error instanceof InvalidTextError) {
			return error.problems;
		}

		throw error;
	}

	return [];
}

describe('parseDeployment', () => {
	it('parses a valid text and fills in the defaults', () => {
		const deployment = parseDeployment(validText);
		expect(deployment.services.map(service => service.name)).to.deep.equal(['contracts', 'refunds']);
		expect(deployment.services[0]).to.deep.include({firstTokenMs: 900, floor: {prefill: 1, decode: 1}});
		expect(deployment.upstreams[0]).to.include({fenced: true, pieces: 64});
	});

	const faults = [
		{change: ['deadline_ms = 30000', 'deadline_ms = "soon"'], path: 'services.contracts.deadline_ms', line: 10},
		{change: ['deadline_ms = 30000', 'deadline_ms = -1'], path: 'services.contracts.deadline_ms', line: 10},
		{
			change: ['pieces = 64', 'peices = 64'], path: 'upstreams[1].peices', line: 23, allowed: 'did you mean pieces?',
		},
		{
			change: ['id = "refunds-1"', 'id = "engine-1"'], path: 'upstreams[2].id', line: 26, allowed: 'upstreams[1] has this one',
		},
		{change: ['10.0.0.2:7201', '10.0.0.1:7101'], path: 'upstreams[2].address', line: 29},
		{
			change: ['10.0.0.2:7201', 'refunds.example:7201'], path: 'upstreams[2].address', line: 29, allowed: 'IP number:port',
		},
		{change: ['10.0.0.2:7201', '10.0.0.256:7201'], path: 'upstreams[2].address', line: 29},
		{change: ['10.0.0.2:7201', '10.0.0.2:70000'], path: 'upstreams[2].address', line: 29},
		{
			change: ['service = "refunds"', 'service = "refund"'], path: 'upstreams[2].service', line: 27, allowed: 'contracts, refunds',
		},
		{change: ['domain = "kigali-2"', 'domain = "lima"'], path: 'upstreams[2].domain', line: 28},
		{change: ['["refunds"]', '["ledger"]'], path: 'services.contracts.depends_on[1]', line: 11},
		{
			change: ['deadline_ms = 2000', 'deadline_ms = 2000\ndepends_on = ["contracts"]'], path: 'services.contracts.depends_on', line: 11, allowed: 'contracts needs refunds needs contracts',
		},
		{
			change: ['deadline_ms = 30000', 'deadline_ms = 30000\nfloor_decode = 2'], path: 'services.contracts.floor_decode', line: 11, allowed: 'at most 1',
		},
		{
			change: ['POST /refunds', 'refunds'], path: 'services.refunds.non_repeatable[1]', line: 16, allowed: 'METHOD /path',
		},
		{change: ['kind = "application"', 'kind = "app"'], path: 'services.refunds.kind', line: 14},
		{change: ['name = "umuhora"', ''], path: 'deployment.name', line: 2},
		{change: ['version = "1"', 'version = '], path: '', line: 9},
	] as const;
	for (const fault of faults) {
		it(`reports the line and key of the problem in: ${fault.change[1].split('\n').at(-1)}`, () => {
			const problems = listProblems(validText.replace(fault.change[0], fault.change[1]));
			const found = problems.find(problem => problem.path === fault.path);
			expect(found, JSON.stringify(problems)).to.include({line: fault.line});
			expect(found!.allowed).to.include('allowed' in fault ? fault.allowed : '');
		});
	}

	it('reports all problems of a text at once', () => {
		const text = validText
			.replace('deadline_ms = 30000', 'deadline_ms = 0')
			.replace('10.0.0.2:7201', 'nowhere')
			.replace('["refunds"]', '["ledger"]')
			.replace('domain = "kigali-1"', 'domain = "lima"');
		expect(listProblems(text).map(problem => problem.path)).to.have.members([
			'services.contracts.deadline_ms', 'upstreams[1].domain', 'upstreams[2].address',
		]);
		expect(listProblems(text.replace('deadline_ms = 0', 'deadline_ms = 1')).map(problem => problem.path)).to.include('services.contracts.depends_on[1]');
	});

	it('finds the line of a key after a multi-line string', () => {
		const text = validText.replace('name = "umuhora"', 'name = """\numuhora\ndeadline_ms = 1\n"""');
		expect(listProblems(text).find(problem => problem.path === 'deployment.name')).to.include({line: 3});
	});

	it('rejects a text that is too large for the store', () => {
		expect(listProblems(`${validText}#${'x'.repeat(500_000)}`)[0]?.allowed).to.include('bytes');
	});
});

describe('compareDeployments', () => {
	it('lists changes by service and upstream, and none between equal texts', () => {
		const after = validText.replace('engine-1', 'engine-9').replace('deadline_ms = 2000', 'deadline_ms = 4000');
		const lines = formatDifferences(compareDeployments(parseDeployment(validText), parseDeployment(after))).split('\n');
		expect(lines).to.deep.equal(['~ service refunds: deadlineMs 2000 -> 4000', '- upstream engine-1', '+ upstream engine-9']);
		expect(compareDeployments(parseDeployment(validText), parseDeployment(validText))).to.deep.equal([]);
	});
});

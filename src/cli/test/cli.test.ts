import {execFile} from 'node:child_process';
import {
	mkdtemp, readFile, rm, writeFile,
} from 'node:fs/promises';
import type {AddressInfo, Server} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {expect} from 'chai';
import polka from 'polka';
import {FakePlatform, FakeStore, FakeVmList} from '../../../faults/fakes/store.js';
import {ConfigurationTracker} from '../../configuration/index.js';
// The entry's routes are no public surface; these tests drive them through the commands.
import {addOperatorRoutes} from '../../entry/operators.js';
import {FactTable} from '../../feed/index.js';
import {History} from '../../history/index.js';
import {Membership} from '../../membership/index.js';
import {Metrics} from '../../metrics/index.js';
import {listOperations, reportOperations} from '../../operations/index.js';
import {parseEntrySettings} from '../../settings/index.js';
import {SystemTimers} from '../../timers/index.js';
import {exampleText} from '../example.js';
import {exitCode} from '../exitcodes.js';

type Result = {readonly code: number; readonly stdout: string; readonly stderr: string};

const entrySettings = `vm = "vm-1"
domain = "domain-1"
http = "127.0.0.1:8001"
peer = "127.0.0.1:9001"
platform = "http://127.0.0.1:7000"
secret = "sixteen letters!"
`;

async function runProgram(program: string, parameters: readonly string[], environment: Readonly<Record<string, string>> = {}): Promise<Result> {
	const env = {...process.env, ...environment};
	return new Promise(resolve => {
		execFile(process.execPath, [`dist/src/cli/${program}.js`, ...parameters], {env}, (error, stdout, stderr) => {
			resolve({code: error ? Number(error.code) : 0, stdout, stderr});
		});
	});
}

async function getCode(running: Promise<Result>): Promise<number> {
	const {code} = await running;
	return code;
}

async function getOutput(running: Promise<Result>): Promise<string> {
	const {stdout} = await running;
	return stdout;
}

describe('the operators\' programs', function () {
	this.timeout(60_000);
	const timers = new SystemTimers();
	const platform = new FakePlatform(timers);
	const store = new FakeStore(platform);
	const facts = new FactTable();
	const history = new History(timers);
	const settings = parseEntrySettings(entrySettings);
	let keeper: ConfigurationTracker;
	let membership: Membership;
	let server: Server;
	let folder = '';
	let file = '';
	let entry = '';

	async function run(...parameters: readonly string[]): Promise<Result> {
		return runProgram('main', [...parameters, '--entry', `127.0.0.1:1,${entry}`]);
	}

	before(async () => {
		folder = await mkdtemp(path.join(tmpdir(), 'crocus-'));
		file = path.join(folder, 'deployment.toml');
		keeper = new ConfigurationTracker({
			vm: 'vm-1', store, facts, timers, history, metrics: new Metrics(), getRandom: () => 0.5, listLiveVms: () => ['vm-1'], countMembers: () => 1,
		});
		membership = new Membership({
			...settings,
			facts,
			timers,
			history,
			vms: new FakeVmList(platform),
			router: {isAvailable: () => true, countInFlight: () => 0},
			getConfiguration: () => keeper.getVersion(),
			isUsed: () => true,
		});
		keeper.start();
		membership.start();
		const app = polka();
		addOperatorRoutes(app, {
			settings, store, facts, timers, history, configuration: keeper, getDeployment: () => keeper.getDeployment(),
		}, () => membership);
		await new Promise<void>(resolve => {
			app.listen(0, '127.0.0.1', () => {
				resolve();
			});
		});
		server = app.server;
		entry = `127.0.0.1:${(server.address() as AddressInfo).port}`;
	});

	after(async () => {
		keeper.stop();
		membership.stop();
		server.close();
		await rm(folder, {recursive: true});
	});

	it('writes an example that its own check finds good, and does not write over a file', async () => {
		expect(await getCode(runProgram('main', ['init', file]))).to.equal(exitCode.done);
		expect(await readFile(file, 'utf8')).to.equal(exampleText);
		expect(await getCode(runProgram('main', ['init', file]))).to.equal(exitCode.failed);
		expect(await getCode(runProgram('main', ['check', file]))).to.equal(exitCode.done);
		expect(await getCode(runProgram('check', [file]))).to.equal(exitCode.done);
	});

	it('tells every fault of a bad text and how it ended', async () => {
		const bad = path.join(folder, 'bad.toml');
		await writeFile(bad, exampleText.replace('pieces = 1000', 'peices = 1000').replace('deadline_ms = 2000', 'deadline_ms = 0'));
		for (const result of [await runProgram('main', ['check', bad]), await runProgram('check', [bad])]) {
			expect(result.code).to.equal(exitCode.badText);
			expect(result.stderr).to.include('bad.toml:20: services.records.deadline_ms').and.to.include('did you mean pieces?');
		}

		expect(await getCode(run('apply', bad, '--base', '0'))).to.equal(exitCode.badText);
		expect(platform.journal.filter(write => write.key === 'configuration')).to.have.length(0);
		expect(await getCode(runProgram('main', ['check']))).to.equal(exitCode.usage);
		expect(await getCode(runProgram('check', []))).to.equal(exitCode.usage);
	});

	it('applies, over the second entry when the first is not there, and says so once', async () => {
		const first = await run('apply', file, '--base', '0', '--operation', 'op-1', '--json');
		expect(first.code, first.stdout).to.equal(exitCode.done);
		expect(JSON.parse(first.stdout)).to.deep.include({version: 1, isRepeat: false});
		expect((JSON.parse(first.stdout) as {spread: unknown}).spread).to.deep.equal({version: 1, inForce: ['vm-1'], notYet: []});
		const again = await run('apply', file, '--base', '0', '--operation', 'op-1', '--json');
		expect(JSON.parse(again.stdout)).to.deep.include({version: 1, isRepeat: true});
		expect(platform.journal.filter(write => write.key === 'configuration')).to.have.length(1);
	});

	it('tells a conflict with the difference', async () => {
		const other = path.join(folder, 'other.toml');
		await writeFile(other, exampleText.replace('deadline_ms = 2000', 'deadline_ms = 3000'));
		const result = await run('apply', other, '--base', '0', '--json');
		expect(result.code, result.stdout).to.equal(exitCode.conflict);
		expect(result.stdout).to.include('deadlineMs 2000 -> 3000');
	});

	it('shows the status', async () => {
		const {code, stdout} = await run('status');
		expect(code).to.equal(exitCode.done);
		expect(stdout).to.include('configuration: version 1 (read from the store)').and.to.include('entry vm-1: domain-1, live, version 1');
	});

	it('asks for an operation once, says that it still waits, and tells its end', async () => {
		const waiting = await run('drain', 'engine-1', '--operation', 'op-2', '--timeout', '1');
		expect(waiting.code).to.equal(exitCode.stillWaiting);
		await reportOperations(store, 'domain-1', new Map([['op-2', {state: 'done', detail: 'no request left'}]]));
		expect(await getCode(run('drain', 'engine-1', '--operation', 'op-2'))).to.equal(exitCode.done);
		expect(await listOperations(store, 'domain-1')).to.have.length(1);
		expect(await getCode(run('drain', 'engine-7'))).to.equal(exitCode.failed);
	});

	it('explains an operation and a reason, and lists events', async () => {
		expect(await getOutput(run('explain', 'operation', 'op-1'))).to.match(/vm-1#\d+ operation\/op-1 accepted: configuration version 1/v);
		expect(await getOutput(runProgram('main', ['explain', 'refusal', 'deadline']))).to.include('deadline');
		expect(await getOutput(run('events', '--subject', 'configuration'))).to.include('in force: version 1');
	});

	it('says when no entry can be reached', async () => {
		expect(await getCode(runProgram('main', ['status', '--entry', '127.0.0.1:1']))).to.equal(exitCode.notReachable);
	});

	it('takes the entries from the environment', async () => {
		expect(await getCode(runProgram('main', ['status'], Object.fromEntries([['CROCUS_ENTRY', `127.0.0.1:1,${entry}`]])))).to.equal(exitCode.done);
	});
});

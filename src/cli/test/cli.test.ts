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
// The package does not export the entry's routes for operators; these tests call them through the commands.
import {addOperatorRoutes} from '../../entry/operators.js';
import {FactTable} from '../../feed/index.js';
import {History} from '../../history/index.js';
import {Membership} from '../../membership/index.js';
import {Metrics} from '../../metrics/index.js';
import {listOperations, reportOperations} from '../../operations/index.js';
import {parseEntrySettings} from '../../settings/index.js';
import {SystemTimers} from '../../timers/index.js';
import {exampleConfiguration} from '../example.js';
import {exitCode} from '../exitcodes.js';

type ProgramResult = {readonly code: number; readonly stdout: string; readonly stderr: string};

const entrySettings = `vm = "vm-1"
domain = "domain-1"
http = "127.0.0.1:8001"
peer = "127.0.0.1:9001"
platform = "http://127.0.0.1:7000"
secret = "sixteen letters!"
`;

async function runProgram(program: string, parameters: readonly string[], environment: Readonly<Record<string, string>> = {}): Promise<ProgramResult> {
	const env = {...process.env, ...environment};
	return new Promise(resolve => {
		execFile(process.execPath, [`dist/src/cli/${program}.js`, ...parameters], {env}, (error, stdout, stderr) => {
			resolve({code: error ? Number(error.code) : 0, stdout, stderr});
		});
	});
}

async function getExitCode(pendingResult: Promise<ProgramResult>): Promise<number> {
	const {code} = await pendingResult;
	return code;
}

async function getOutput(pendingResult: Promise<ProgramResult>): Promise<string> {
	const {stdout} = await pendingResult;
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
	let tracker: ConfigurationTracker;
	let membership: Membership;
	let server: Server;
	let directory = '';
	let configurationFile = '';
	let entryAddress = '';

	async function run(...parameters: readonly string[]): Promise<ProgramResult> {
		return runProgram('main', [...parameters, '--entry', `127.0.0.1:1,${entryAddress}`]);
	}

	before(async () => {
		directory = await mkdtemp(path.join(tmpdir(), 'crocus-'));
		configurationFile = path.join(directory, 'deployment.toml');
		tracker = new ConfigurationTracker({
			vm: 'vm-1', store, facts, timers, history, metrics: new Metrics(), getRandom: () => 0.5, listLiveVms: () => ['vm-1'], countMembers: () => 1,
		});
		membership = new Membership({
			...settings,
			facts,
			timers,
			history,
			vms: new FakeVmList(platform),
			router: {isAvailable: () => true, countInFlight: () => 0},
			getConfiguration: () => tracker.getVersion(),
			isUsed: () => true,
		});
		tracker.start();
		membership.start();
		const app = polka();
		addOperatorRoutes(app, {
			settings, store, facts, timers, history, configuration: tracker, getDeployment: () => tracker.getDeployment(),
		}, () => membership);
		await new Promise<void>(resolve => {
			app.listen(0, '127.0.0.1', () => {
				resolve();
			});
		});
		server = app.server;
		entryAddress = `127.0.0.1:${(server.address() as AddressInfo).port}`;
	});

	after(async () => {
		tracker.stop();
		membership.stop();
		server.close();
		await rm(directory, {recursive: true});
	});

	it('init writes an example that check accepts, and does not overwrite an existing file', async () => {
		expect(await getExitCode(runProgram('main', ['init', configurationFile]))).to.equal(exitCode.success);
		expect(await readFile(configurationFile, 'utf8')).to.equal(exampleConfiguration);
		expect(await getExitCode(runProgram('main', ['init', configurationFile]))).to.equal(exitCode.failure);
		expect(await getExitCode(runProgram('main', ['check', configurationFile]))).to.equal(exitCode.success);
		expect(await getExitCode(runProgram('check', [configurationFile]))).to.equal(exitCode.success);
	});

	it('reports every problem of an invalid configuration text, applies none of it, and exits with the matching code', async () => {
		const invalidFile = path.join(directory, 'bad.toml');
		await writeFile(invalidFile, exampleConfiguration.replace('pieces = 1000', 'peices = 1000').replace('deadline_ms = 2000', 'deadline_ms = 0'));
		for (const result of [await runProgram('main', ['check', invalidFile]), await runProgram('check', [invalidFile])]) {
			expect(result.code).to.equal(exitCode.invalidText);
			expect(result.stderr).to.include('bad.toml:20: services.records.deadline_ms').and.to.include('did you mean pieces?');
		}

		expect(await getExitCode(run('apply', invalidFile, '--base', '0'))).to.equal(exitCode.invalidText);
		expect(platform.journal.filter(write => write.key === 'configuration')).to.have.length(0);
		expect(await getExitCode(runProgram('main', ['check']))).to.equal(exitCode.usage);
		expect(await getExitCode(runProgram('check', []))).to.equal(exitCode.usage);
	});

	it('applies through the second entry when the first is unreachable, and applies a repeated operation only once', async () => {
		const firstResult = await run('apply', configurationFile, '--base', '0', '--operation', 'op-1', '--json');
		expect(firstResult.code, firstResult.stdout).to.equal(exitCode.success);
		expect(JSON.parse(firstResult.stdout)).to.deep.include({version: 1, isRepeat: false});
		expect((JSON.parse(firstResult.stdout) as {spread: unknown}).spread).to.deep.equal({version: 1, inForce: ['vm-1'], notYet: []});
		const repeatedResult = await run('apply', configurationFile, '--base', '0', '--operation', 'op-1', '--json');
		expect(JSON.parse(repeatedResult.stdout)).to.deep.include({version: 1, isRepeat: true});
		expect(platform.journal.filter(write => write.key === 'configuration')).to.have.length(1);
	});

	it('reports a conflict together with the difference to the current configuration', async () => {
		const conflictingFile = path.join(directory, 'other.toml');
		await writeFile(conflictingFile, exampleConfiguration.replace('deadline_ms = 2000', 'deadline_ms = 3000'));
		const result = await run('apply', conflictingFile, '--base', '0', '--json');
		expect(result.code, result.stdout).to.equal(exitCode.conflict);
		expect(result.stdout).to.include('deadlineMs 2000 -> 3000');
	});

	it('shows the configuration version and the entries in the status', async () => {
		const {code, stdout} = await run('status');
		expect(code).to.equal(exitCode.success);
		expect(stdout).to.include('configuration: version 1 (read from the store)').and.to.include('entry vm-1: domain-1, live, version 1');
	});

	it('requests a repeated operation only once, and exits with different codes while it waits and after it has ended', async () => {
		const waitingResult = await run('drain', 'engine-1', '--operation', 'op-2', '--timeout', '1');
		expect(waitingResult.code).to.equal(exitCode.stillWaiting);
		await reportOperations(store, 'domain-1', new Map([['op-2', {state: 'done', detail: 'no request left'}]]));
		expect(await getExitCode(run('drain', 'engine-1', '--operation', 'op-2'))).to.equal(exitCode.success);
		expect(await listOperations(store, 'domain-1')).to.have.length(1);
		expect(await getExitCode(run('drain', 'engine-7'))).to.equal(exitCode.failure);
	});

	it('explains an operation and a refusal reason, and lists events', async () => {
		expect(await getOutput(run('explain', 'operation', 'op-1'))).to.match(/vm-1#\d+ operation\/op-1 accepted: configuration version 1/v);
		expect(await getOutput(runProgram('main', ['explain', 'refusal', 'deadline']))).to.include('deadline');
		expect(await getOutput(run('events', '--subject', 'configuration'))).to.include('in force: version 1');
	});

	it('exits with its own code when no entry can be reached', async () => {
		expect(await getExitCode(runProgram('main', ['status', '--entry', '127.0.0.1:1']))).to.equal(exitCode.unreachable);
	});

	it('reads the addresses of the entries from CROCUS_ENTRY', async () => {
		expect(await getExitCode(runProgram('main', ['status'], Object.fromEntries([['CROCUS_ENTRY', `127.0.0.1:1,${entryAddress}`]])))).to.equal(exitCode.success);
	});
});

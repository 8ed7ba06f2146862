import {Buffer} from 'node:buffer';
import {gzipSync} from 'node:zlib';
import {FakePlatform, FakeStore} from '../../faults/fakes/store.js';
import {orderState} from '../../src/authority/index.js';
import type {DomainRecord, UpstreamRecord} from '../../src/authority/index.js';
import {Claims, claimState, encodeBucket} from '../../src/claims/index.js';
import type {ClaimRecord} from '../../src/claims/index.js';
import {engineRole, parseDeployment} from '../../src/deployment/index.js';
import {upstreamState} from '../../src/feed/index.js';
import {Metrics} from '../../src/metrics/index.js';
import {RandomSource} from '../../src/rates/index.js';
import {ManualTimers} from '../../src/timers/index.js';
import {orderKind} from '../../src/upstreams/index.js';
import type {Slope} from './slope.js';
import {measureMicroseconds} from './usage.js';

const storeDelayMs = 5;

/** Slopes of stored data: record of a failure domain, claims and configuration. */
export const stateSlopes: readonly Slope[] = [
	{
		role: 'authority',
		quantity: 'order record, bytes',
		sizeLabel: 'engines of the domain',
		sizes: [3, 30, 120, 240],
		measure: engines => JSON.stringify(createDomainRecord(engines)).length,
	},
	{
		role: 'authority',
		quantity: 'one change of the record, µs',
		sizeLabel: 'engines of the domain',
		sizes: [3, 30, 120, 240],
		measure: engines => measureRecordChange(engines),
	},
	{
		role: 'claims',
		quantity: 'one bucket, bytes',
		sizeLabel: 'claims in it (answers of 200 bytes)',
		sizes: [10, 100, 400, 800],
		measure: count => encodeBucket(new Map(createClaims(count).map(claim => [claim.key, claim]))).length,
	},
	{
		role: 'claims',
		quantity: 'store calls for 10 s',
		sizeLabel: 'keyed calls a second at one entry (store answers in 5 ms)',
		sizes: [1, 5, 20, 80],
		measure: async rate => countStoreCalls(rate),
	},
	{
		role: 'configuration',
		quantity: 'check of a text, ms',
		sizeLabel: 'upstreams in it',
		sizes: [9, 100, 300, 600],
		measure: upstreams => measureConfigurationCheck(createConfigurationText(upstreams)),
	},
	{
		role: 'configuration',
		quantity: 'text, bytes',
		sizeLabel: 'upstreams in it',
		sizes: [9, 100, 300, 600],
		measure: upstreams => createConfigurationText(upstreams).length,
	},
	{
		role: 'configuration',
		quantity: 'text compressed, bytes',
		sizeLabel: 'upstreams in it',
		sizes: [9, 100, 300, 600],
		measure: upstreams => gzipSync(createConfigurationText(upstreams)).length,
	},
];

function createDomainRecord(engines: number): DomainRecord {
	const setup = {
		role: engineRole.mixed, model: 'model-12', version: '2026-11', adapters: ['adapter-1'],
	};
	const createUpstream = (index: number): UpstreamRecord => ({
		address: `10.0.${index}.1:7000`,
		service: 'service-12',
		isEngine: true,
		isFenced: true,
		state: upstreamState.serving,
		setup,
		role: engineRole.mixed,
		order: {
			id: `order-${index}-0123456789abcdef`, fence: 7, kind: orderKind.configure, target: setup, state: orderState.confirmed, sends: 1,
		},
		senders: [],
		isDrained: false,
	});
	const upstreams = Object.fromEntries(Array.from({length: engines}, (_, index) => [`engine-${index}`, createUpstream(index)]));
	return {
		fence: 7, holder: 'vm-12/1700000000000', write: '0123456789abcdef', configuration: 12, upstreams, stopped: {},
	};
}

function measureRecordChange(engines: number): number {
	let value = JSON.stringify(createDomainRecord(engines));
	return measureMicroseconds(500, index => {
		const record = JSON.parse(value) as DomainRecord;
		value = JSON.stringify({...record, write: String(index)});
	});
}

function createClaims(count: number): readonly ClaimRecord[] {
	return Array.from({length: count}, (_, index) => ({
		key: Buffer.from(`key ${index}`.padEnd(32)).toString('base64url'),
		call: Buffer.from(`call ${index}`.padEnd(32)).toString('base64url'),
		state: claimState.done,
		token: 'AbCdEfGhIjKl',
		due: 1_700_000_000_000,
		until: 1_700_086_400_000,
		answer: {status: 200, type: 'application/json', body: Buffer.alloc(200).toString('base64')},
	}));
}

async function countStoreCalls(rate: number): Promise<number> {
	const timers = new ManualTimers();
	const platform = new FakePlatform(timers);
	const store = new FakeStore(platform);
	store.delayMs = storeDelayMs;
	const random = new RandomSource(1);
	const claims = new Claims({
		store, timers, metrics: new Metrics(), getRandom: () => random.getRandom(),
	});
	const seconds = 10;
	for (let index = 0; index < rate * seconds; index++) {
		void runCall(claims, index);
		await timers.advance(1000 / rate);
	}

	await timers.advance(1000);
	return platform.calls;
}

async function runCall(claims: Claims, index: number): Promise<void> {
	const {claim} = await claims.take({
		service: 'refunds', caller: 'clerk', key: `key-${index}`, content: ['POST', '/refunds', `body ${index}`], deadlineMs: 10_000,
	});
	await claims.settle(claim, {state: claimState.done, answer: {status: 200, type: 'text/plain', body: ''}});
}

function createConfigurationText(upstreams: number): string {
	const head = '[deployment]\nname = "long-run"\ndomains = ["a", "b", "c", "d", "e"]\n\n';
	const services = Array.from({length: 27}, (_, index) => [
		`[services.service-${index}]`,
		'kind = "model"',
		`model = "model-${index}"`,
		'version = "1"',
		'deadline_ms = 30000',
		'floor_prefill = 0',
		'floor_decode = 0\n',
	].join('\n'));
	const engines = Array.from({length: upstreams}, (_, index) => [
		'[[upstreams]]',
		`id = "engine-${index}"`,
		`service = "service-${index % 27}"`,
		`domain = "${'abcde'[index % 5]}"`,
		`address = "10.1.${Math.floor(index / 200)}.${index % 200}:7000"`,
		'pieces = 64\n',
	].join('\n'));
	return [head, ...services, ...engines].join('\n');
}

function measureConfigurationCheck(text: string): number {
	return measureMicroseconds(12, () => {
		parseDeployment(text);
	}) / 1000;
}

#!/usr/bin/env node
import process from 'node:process';
import {performance} from 'node:perf_hooks';
import {CustomerAccess, CustomerTable, KnowledgeAge} from '../src/customers/index.js';
import {RandomSource} from '../src/rates/index.js';
import {SystemTimers} from '../src/timers/index.js';
import {createConfiguration} from '../standins/fleet/index.js';
import {parseConfiguration} from '../platform/configuration.js';
import {parseJson} from '../platform/fields.js';

/**
Measures what API keys cost an entry: time to parse a configuration with its customers and to put it into force, time to decide on a known
and on an unknown key, and memory: `node --expose-gc dist/bench/keys.js`.
*/
const keyCounts = [10, 1000, 100_000];
const customerCount = 86;
const applyRounds = 20;
const lookupCount = 500_000;
const microsecondsPerMillisecond = 1000;
const bytesPerMegabyte = 1_000_000;

function createText(keyCount: number, version: number): string {
	const tenants = Array.from({length: Math.min(customerCount, keyCount)}, (_, index) => ({name: `customer-${index}`, keys: [] as string[]}));
	for (let index = 0; index < keyCount; index++) {
		tenants[index % tenants.length]!.keys.push(createKey(index));
	}

	// The platform's name of the field.
	return JSON.stringify(createConfiguration(version, {tenants})).replaceAll('"keys":', '"api_keys":');
}

function createKey(index: number): string {
	return `key-${String(index).padStart(8, '0')}-0123456789abcdef0123456789abcdef`;
}

function measureHeapMb(): number {
	globalThis.gc?.();
	return process.memoryUsage().heapUsed / bytesPerMegabyte;
}

/** Measures the average time to decide on a key, in milliseconds. */
function measureLookup(access: CustomerAccess, keys: readonly string[]): number {
	const startedAt = performance.now();
	for (let index = 0; index < lookupCount; index++) {
		access.decide(keys[index % keys.length]);
	}

	return (performance.now() - startedAt) / lookupCount;
}

console.log('| keys | text, kB | JSON, ms | fields and table, ms | known key, µs | unknown key, µs | table, MB | 10 in a row: longest, ms | peak of them, MB |');
console.log('| --- | --- | --- | --- | --- | --- | --- | --- | --- |');
for (const keyCount of keyCounts) {
	const random = new RandomSource(keyCount);
	const text = createText(keyCount, 1);
	let jsonMs = 0;
	let parseMs = 0;
	for (let round = 0; round < applyRounds; round++) {
		const startedAt = performance.now();
		const value = parseJson(text, 'configuration');
		const parsedAt = performance.now();
		parseConfiguration(value);
		jsonMs += (parsedAt - startedAt) / applyRounds;
		parseMs += (performance.now() - parsedAt) / applyRounds;
	}

	const heapBeforeMb = measureHeapMb();
	const {customers} = parseConfiguration(parseJson(text, 'configuration'));
	const tableMb = measureHeapMb() - heapBeforeMb;
	const access = new CustomerAccess(new KnowledgeAge(new SystemTimers()), () => ({maxAgeMs: 1e9, maxNewKeyAgeMs: 1e9}));
	access.apply(customers);
	access.age.onKnown(0);
	const known = Array.from({length: 10_000}, () => createKey(random.pickIndex(keyCount)));
	const unknown = Array.from({length: 10_000}, () => `${createKey(random.pickIndex(keyCount))}x`);
	const knownMs = measureLookup(access, known);
	const unknownMs = measureLookup(access, unknown);
	let longestMs = 0;
	let peakMb = 0;
	for (let version = 2; version < 12; version++) {
		const next = createText(keyCount, version);
		const startedAt = performance.now();
		access.apply(parseConfiguration(parseJson(next, 'configuration')).customers ?? new CustomerTable([]));
		longestMs = Math.max(longestMs, performance.now() - startedAt);
		peakMb = Math.max(peakMb, process.memoryUsage().heapUsed / bytesPerMegabyte);
	}

	console.log(`| ${[
		keyCount,
		(text.length / 1000).toFixed(1),
		jsonMs.toFixed(3),
		parseMs.toFixed(3),
		(knownMs * microsecondsPerMillisecond).toFixed(2),
		(unknownMs * microsecondsPerMillisecond).toFixed(2),
		tableMb.toFixed(2),
		longestMs.toFixed(1),
		(peakMb - heapBeforeMb).toFixed(1),
	].join(' | ')} |`);
}

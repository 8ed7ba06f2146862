#!/usr/bin/env node
import process from 'node:process';
import {createRecords, FakeEntry, getAddress} from '../faults/fakes/fleet.js';
import {FakeWires} from '../faults/fakes/network.js';
import {FakePlatform} from '../faults/fakes/store.js';
import {computeTextHash} from '../src/deployment/index.js';
import {upstreamState} from '../src/feed/index.js';
import {choosePoller} from '../src/membership/index.js';
import {ManualTimers} from '../src/timers/index.js';

/** Measures the feed in-process: `node dist/bench/feedtrial.js <entries> <domains> <engines a domain> [seconds]`. */
const [entryCount = 380, domainCount = 5, engineCount = 120, seconds = 15] = process.argv.slice(2).map(Number);
const settleSeconds = 15;
const stepMs = 50;
const domains = Array.from({length: domainCount}, (_, index) => `domain-${index + 1}`);
const timers = new ManualTimers();
const platform = new FakePlatform(timers);
const wires = new FakeWires(timers);
platform.vms = createRecords(entryCount, domains);
const entries = platform.vms.map(record => new FakeEntry({
	vm: record.vm, domain: record.domain, platform, wires, timers,
}));
let random = 7;

for (const entry of entries) {
	await entry.start();
	startLoads(entry);
}

await timers.advance(settleSeconds * 1000);
const live = entries.map(entry => entry.membership.listLive().length);
console.log(`live as known after ${settleSeconds} s: least ${Math.min(...live)} of ${entryCount}`);
console.log(`roots ${new Set(entries.map(entry => entry.hub.feed.tree.beacon.root)).size}`);
console.log(`links ${(entries.reduce((sum, entry) => sum + entry.hub.feed.countLinks(), 0) / entryCount).toFixed(1)} a node`);
console.log(`most hops ${Math.max(...entries.map(entry => entry.hub.feed.tree.beacon.hops))}`);
wires.isCounted = true;
const warmSeconds = 3;
await timers.advance(warmSeconds * 1000);
wires.sentBytes.clear();
wires.receivedBytes.clear();
const cpu = process.cpuUsage();
await timers.advance(seconds * 1000);
const used = process.cpuUsage(cpu);
printRate('sent', wires.sentBytes);
printRate('received', wires.receivedBytes);
const both = new Map([...wires.sentBytes].map(([address, bytes]) => [address, bytes + (wires.receivedBytes.get(address) ?? 0)]));
printRate('both', both);
console.log(`processor: ${((used.user + used.system) / 1000 / seconds / entryCount).toFixed(2)} ms a node and second, harness and one encoding of each message included`);
wires.isCounted = false;
await measureSpread('an upstream fact', () => {
	entries[0]!.facts.merge({
		kind: 'upstream', key: 'probe', version: 1, value: {state: upstreamState.closing},
	});
}, entry => entry.facts.get('upstream', 'probe')?.version === 1);
const text = 'x'.repeat(100_000);
await measureSpread('a configuration', () => {
	entries[0]!.facts.merge({
		kind: 'configuration', key: '', version: 1, value: {text, hash: computeTextHash(text)},
	});
}, entry => entry.facts.get('configuration', '')?.version === 1);
process.exit(0);

function startLoads(entry: FakeEntry): void {
	const {domain} = entry.membership.own.createFact();
	let sequence = 0;
	entry.timers.startInterval(1000, () => {
		const members = entry.membership.listLive(domain).map(member => member.vm);
		sequence++;
		for (let engine = 0; engine < engineCount; engine++) {
			const key = `${domain}-engine-${engine}`;
			if (choosePoller(key, members) === entry.vm) {
				entry.facts.merge({
					kind: 'load',
					key,
					version: Math.floor(timers.getWall()),
					value: {
						sequence, incarnation: 1_700_000_000_000, role: 'mixed', running: pick(40), waiting: pick(20), prefillTokens: pick(60_000),
						decodeTokens: pick(30_000), piecesUsed: pick(900), pieces: 1000,
					},
				});
			}
		}
	});
}

function pick(bound: number): number {
	random = ((random * 16_807) % 2_147_483_647);
	return random % bound;
}

function printRate(name: string, bytes: ReadonlyMap<string, number>): void {
	const rates = entries.map(entry => (bytes.get(getAddress(entry.vm)) ?? 0) / seconds).toSorted((left, right) => left - right);
	const mean = rates.reduce((sum, rate) => sum + rate, 0) / rates.length;
	console.log(`${name}: mean ${Math.round(mean)} B/s, p95 ${Math.round(rates[Math.floor(rates.length * 0.95)]!)}, most ${Math.round(rates.at(-1)!)}`);
}

async function measureSpread(name: string, start: () => void, isThere: (entry: FakeEntry) => boolean): Promise<void> {
	const at = timers.getNow();
	start();
	while (!entries.every(entry => isThere(entry)) && timers.getNow() - at < 20_000) {
		await timers.advance(stepMs);
	}

	console.log(`${name}: everywhere after ${timers.getNow() - at} ms, missing ${entries.filter(entry => !isThere(entry)).length}`);
}

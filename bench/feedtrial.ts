#!/usr/bin/env node
import process from 'node:process';
import {GossipFleet} from './feed/fleet.js';
import type {ByteRates} from './feed/fleet.js';

/**
Measures the gossip between entries, all in one process:
`node dist/bench/feedtrial.js <entries> <domains> <engines per domain> [seconds]`.
*/
const [entries = 380, domains = 5, engines = 120, seconds = 15] = process.argv.slice(2).map(Number);
const configurationBytes = 100_000;
const fleet = new GossipFleet({entries, domains, engines});
await fleet.start();
const live = fleet.entries.map(entry => entry.membership.listLive().length);
console.log(`live members known to an entry: min ${Math.min(...live)} of ${entries}`);
console.log(`tree roots ${new Set(fleet.entries.map(entry => entry.hub.gossip.tree.position.root)).size}`);
console.log(`links ${(fleet.entries.reduce((sum, entry) => sum + entry.hub.gossip.countLinks(), 0) / entries).toFixed(1)} per node`);
console.log(`max hops ${Math.max(...fleet.entries.map(entry => entry.hub.gossip.tree.position.hops))}`);
const {sent, received, cpuMs} = await fleet.measureTraffic(seconds);
printRates('sent', sent);
printRates('received', received);
console.log(`processor: ${cpuMs.toFixed(2)} ms per node and second, including the harness and one encoding of each message`);
console.log(`upstream fact known everywhere after ${await fleet.measureUpstreamPropagation()} ms`);
console.log(`configuration known everywhere after ${await fleet.measureConfigurationPropagation(configurationBytes)} ms`);
process.exit(0);

function printRates(name: string, {mean, p95, max}: ByteRates): void {
	console.log(`${name}: mean ${Math.round(mean)} B/s, p95 ${Math.round(p95)}, max ${Math.round(max)}`);
}

import {once} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {hashText} from '../../rigs/calls.js';
import {collectEngineRows, getEngineRequestId} from '../../rigs/load.js';
import type {RunningDeployment} from '../../rigs/deployment.js';
import {waitForOk} from '../../rigs/processgroup.js';
import {readRawStream} from '../../rigs/stream.js';
import type {RawStream} from '../../rigs/stream.js';
import {engineEvent} from '../../standins/engine/index.js';
import {
	modelName, openWorld, resumeEntry, waitForEntries, waitForValue,
} from './world.js';

const streamCount = 8;
const maxTokens = 240;
const begunCharacters = 40;
const settleMs = 100;

/** Streams in progress at one entry. */
export type Begun = {
	/** Resolves when every stream has begun. */
	readonly begun: Promise<void>;
	readonly ended: Promise<RawStream[]>;
};

/** Starts streams at an entry, each of a few seconds. */
export function startStreams(origin: string, name: string, count = streamCount): Begun {
	const prompts = Array.from({length: count}, (_item, index) => `${name} ${index} ${Date.now()}`);
	const streams = prompts.map(prompt => startStream(origin, prompt));
	return {begun: waitForBegun(streams), ended: Promise.all(streams.map(async ({ended}) => ended))};
}

type BegunStream = {readonly begun: Promise<void>; readonly ended: Promise<RawStream>};

function startStream(origin: string, prompt: string): BegunStream {
	let onBegun: () => void = () => undefined;
	const begun = new Promise<void>(resolve => {
		onBegun = resolve;
	});
	const ended = readRawStream(origin, {
		model: modelName,
		prompt,
		maxTokens,
		onEvent(stream) {
			if (stream.text.length > begunCharacters) {
				onBegun();
			}
		},
	});
	return {begun, ended};
}

async function waitForBegun(streams: readonly BegunStream[]): Promise<void> {
	// One that was refused has ended and never begins.
	await Promise.all(streams.map(async ({begun, ended}) => Promise.race([begun, ended])));
}

/** Checks that every stream is whole and the text that an engine's journal has for it. */
export async function checkWhole(deployment: RunningDeployment, streams: readonly RawStream[]): Promise<void> {
	const rows = await collectEngineRows(deployment);
	const hashes = new Map(rows.filter(row => row.event === engineEvent.requestEnded).map(row => [row.id, row.hash]));
	for (const stream of streams) {
		expect(stream.isComplete, `whole answer: ${String(stream.failure)} ${stream.refusal}`).to.equal(true);
		expect(hashes.get(getEngineRequestId(stream.lastEventId)), 'hash in the journal').to.equal(hashText(stream.text));
	}
}

/** The caller goes on at another entry after the first was killed in mid stream. */
export async function runEntryKill(): Promise<void> {
	const deployment = await openWorld();
	const [first, second] = deployment.entries;
	const prompt = `killed entry ${Date.now()}`;
	const {begun, ended} = startStream(first!.origin, prompt);
	await begun;
	first!.child.kill('SIGKILL');
	const before = await ended;
	expect(before.isComplete, 'a cut answer looks whole').to.equal(false);
	const after = await readRawStream(second!.origin, {
		model: modelName, prompt, maxTokens, lastEventId: before.lastEventId,
	});
	await checkWhole(deployment, [{...after, text: before.text + after.text}]);
	await resumeEntry(deployment, first!);
}

/** Streams go on at another engine when theirs is killed. */
export async function runEngineKill(): Promise<void> {
	const deployment = await openWorld();
	const engine = deployment.getUpstream('engine-1');
	const streams = startStreams(deployment.entries[1]!.origin, 'killed engine');
	await streams.begun;
	engine.child.kill('SIGKILL');
	await once(engine.child, 'exit');
	const ended = await streams.ended;
	deployment.restartUpstream(engine);
	await waitForOk(`${engine.origin}/journal`);
	await waitForEntries(deployment);
	await checkWhole(deployment, ended);
}

/** Streams whose connections go silent for good come whole over new ones. */
export async function runSilentEngine(): Promise<void> {
	const deployment = await openWorld();
	const streams = startStreams(deployment.entries[2]!.origin, 'silent engine');
	await streams.begun;
	for (const id of ['engine-1', 'engine-2']) {
		deployment.getUpstream(id).link!.forgetConnections();
	}

	await checkWhole(deployment, await streams.ended);
}

/** A stop under load cuts nothing, says not ready, and ends with exit code 0. */
export async function runGracefulStop(signals: number): Promise<void> {
	const deployment = await openWorld();
	const entry = deployment.entries[0]!;
	const streams = startStreams(entry.origin, `stop by ${signals}`);
	await streams.begun;
	const exit = once(entry.child, 'exit');
	for (let count = 0; count < signals; count++) {
		entry.child.kill('SIGTERM');
		await sleep(settleMs);
	}

	await waitForValue('not ready', 1000, async () => {
		const response = await fetch(`${entry.origin}/readyz`);
		return response.status === 503 ? true : undefined;
	});
	await checkWhole(deployment, await streams.ended);
	const [code] = await exit as [number | undefined];
	expect(code, 'exit code').to.equal(0);
	await resumeEntry(deployment, entry);
}

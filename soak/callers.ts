import {randomUUID} from 'node:crypto';
import http from 'node:http';
import type {Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {header} from '../platform/wire.js';
import {callersHost, createPromptHeaders} from '../standins/fleet/index.js';
import type {RandomSource} from '../src/rates/index.js';
import {ports} from './vm.js';
import type {Incarnation, SoakVm} from './vm.js';
import {crashingBlock} from './world.js';
import type {SoakWorld} from './world.js';

/** Kinds of requests that callers send; at most `maxRuns` engines may run a request of the kind. */
export const callKinds = [
	{path: '/lookup/', maxRuns: 2, isStream: false},
	{path: '/refund/', maxRuns: 1, isStream: false},
	{path: '/check/', maxRuns: 2, isStream: true},
	{path: '/draft/', maxRuns: 1, isStream: true},
] as const;

/** One request and what its caller observed; times are monotonic, in milliseconds. */
export type ObservedCall = {
	readonly id: string;
	readonly path: string;
	readonly isStream: boolean;
	readonly vm: SoakVm;
	readonly incarnation: Incarnation;
	readonly sentAt: number;
	/** Time that the caller gives for the answer, as it says in a header, in milliseconds. */
	readonly deadlineMs: number;
	/** 0 while the call is in progress. */
	endedAt: number;
	/** HTTP status; 0 if no answer began. */
	status: number;
	/** Whether the answer carries an engine's receipt, the proof that it comes from an engine. */
	hasReceipt: boolean;
	body: string;
	/** Whether the answer was received to its proper end. */
	isComplete: boolean;
	/** Code or message of a connection error; empty if there was none. */
	error: string;
	/** How long its connection had been idle, in milliseconds; `undefined` on a new connection. */
	connectionIdleMs: number | undefined;
};

/** When each connection carried its last call. */
const lastUsedAt = new WeakMap<Socket, number>();

/** Sends one request over the keep-alive connections to a VM; resolves when the call has ended, also if it failed. */
export async function sendCall({vm, path, isStream, deadlineMs}: Pick<ObservedCall, 'vm' | 'path' | 'isStream' | 'deadlineMs'>, promptHeaders: Readonly<Record<string, string>> = createPromptHeaders()): Promise<ObservedCall> {
	const call: ObservedCall = {
		id: randomUUID(), path, isStream, vm, incarnation: vm.incarnation!, sentAt: performance.now(), deadlineMs, endedAt: 0, status: 0, hasReceipt: false, body: '', isComplete: false, error: '', connectionIdleMs: undefined,
	};
	return new Promise(resolve => {
		const finish = (error: string) => {
			if (call.endedAt === 0) {
				call.endedAt = performance.now();
				if (request.socket) {
					lastUsedAt.set(request.socket, call.endedAt);
				}

				call.error = error;
				resolve(call);
			}
		};

		const request = http.request({
			host: vm.ip,
			port: ports.callers,
			path: `${path}${call.id}`,
			method: 'POST',
			agent: vm.agent,
			timeout: deadlineMs * 4,
			headers: {
				Host: callersHost,
				[header.requestId]: call.id,
				[header.remainingMs]: String(deadlineMs),
				...isStream && promptHeaders,
			},
		}, response => {
			call.status = response.statusCode ?? 0;
			call.hasReceipt = response.headers[header.receipt.toLowerCase()] !== undefined;
			response.setEncoding('utf8');
			response.on('data', (chunk: string) => {
				call.body += chunk;
			});
			response.on('close', () => {
				call.isComplete = response.complete;
				finish('');
			});
			response.on('error', () => {
				// The `close` event follows and ends the call.
			});
		});
		request.on('socket', socket => {
			const usedAt = lastUsedAt.get(socket);
			call.connectionIdleMs = usedAt === undefined ? undefined : performance.now() - usedAt;
		});
		request.on('error', error => {
			finish(String((error as NodeJS.ErrnoException).code ?? error.message));
		});
		request.on('timeout', () => {
			finish('connection idle for too long');
			request.destroy();
		});
		request.end('body');
	});
}

/** Sends one random request after another to random entries that run, until `hasEnded` returns true. */
export async function runCaller(world: SoakWorld, random: RandomSource, onCall: (call: ObservedCall) => void, hasEnded: () => boolean): Promise<void> {
	while (!hasEnded()) {
		const vm = world.vms[random.pickIndex(world.vms.length)]!;
		const kind = callKinds[random.pickIndex(callKinds.length)]!;
		if (vm.isRunning && vm.incarnation) {
			onCall(await sendCall({
				vm, path: kind.path, isStream: kind.isStream, deadlineMs: world.shape.deadlineMs,
			}));
		}

		await sleep(random.pickBetween(5, 60));
	}
}

/** Sends generations with a block on which engines crash to random entries, no two with the same prompt, until `hasEnded` returns true. */
export async function runCrashingCaller(world: SoakWorld, random: RandomSource, onCall: (call: ObservedCall) => void, hasEnded: () => boolean): Promise<void> {
	for (let uniqueTokens = 1; !hasEnded(); uniqueTokens++) {
		const vm = world.vms[random.pickIndex(world.vms.length)]!;
		const {path, isStream} = callKinds[2 + random.pickIndex(2)]!;
		if (vm.isRunning && vm.incarnation) {
			onCall(await sendCall({
				vm, path, isStream, deadlineMs: world.shape.deadlineMs,
			}, createPromptHeaders(`aa:2000,${crashingBlock}:300`, uniqueTokens)));
		}

		await sleep(random.pickBetween(50, 300));
	}
}

/** Sends requests to the routes that only the latest two versions of the configuration have, at every entry, until `hasEnded` returns true. */
export async function runProbes(world: SoakWorld, onProbe: (version: number, call: ObservedCall) => void, hasEnded: () => boolean): Promise<void> {
	while (!hasEnded()) {
		for (const vm of world.vms) {
			for (const {version} of world.versions.slice(-2)) {
				if (vm.isRunning && vm.incarnation) {
					onProbe(version, await sendCall({
						vm, path: `/probe-${version}/`, isStream: false, deadlineMs: world.shape.deadlineMs,
					}));
				}
			}
		}

		await sleep(150);
	}
}

import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {writeFileSync} from 'node:fs';
import http from 'node:http';
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {settingsVariable} from '../platform/settings.js';
import {createSettingsText} from '../standins/fleet/index.js';

/** The program as it is deployed: one bundled file, made by `npm run bundle`. */
const program = fileURLToPath(new URL('../../target/crocus-platform.mjs', import.meta.url));
const clock = fileURLToPath(new URL('clock.js', import.meta.url));
export const ports = {callers: 8080, ready: 8081, peers: 8100} as const;
/** Time between SIGTERM and SIGKILL that the entry is told, in milliseconds. */
export const stopMs = 8000;
/** What the entry is told of how soon changes hold, in milliseconds. */
export const changeMs = 2000;

/** One lifetime of an entry's process; times are monotonic, in milliseconds. */
export type Life = {
	readonly child: ChildProcess;
	readonly startedAt: number;
	termAt?: number;
	reloadedAt?: number;
	killedAt?: number;
	exitedAt?: number;
	code?: number;
	/** Highest version of the configuration that its answers showed. */
	seenVersion: number;
};

/** An entry's VM: its process is the real program, started again and again. */
export class SoakVm {
	readonly lives: Life[] = [];
	/** Connections that callers keep open until the process is gone. */
	agent = new http.Agent({keepAlive: true, maxSockets: 16});
	/** When it was paused; the last one may be open. */
	readonly pauses: Array<{readonly from: number; to: number}> = [];
	/** What its processes wrote to standard error. */
	errors = '';
	#isRetired = false;
	readonly #folder: string;
	readonly #onExit: (vm: SoakVm, life: Life) => void;

	constructor(readonly name: string, readonly ip: string, folder: string, onExit: (vm: SoakVm, life: Life) => void) {
		this.#folder = folder;
		this.#onExit = onExit;
	}

	/** The lifetime that runs, or the last one. */
	get life(): Life | undefined {
		return this.lives.at(-1);
	}

	get isRunning(): boolean {
		return this.life !== undefined && this.life.exitedAt === undefined;
	}

	/** Whether it was paused at some time of a span, in milliseconds. */
	hasPaused(from: number, to: number): boolean {
		return this.pauses.some(pause => pause.from < to && pause.to > from);
	}

	/** Measures how long of a span it was paused, in milliseconds. */
	measurePaused(from: number, to: number): number {
		return this.pauses.reduce((sum, pause) => sum + Math.max(0, Math.min(pause.to, to) - Math.max(pause.from, from)), 0);
	}

	/** Writes the settings file. */
	writeSettings(storeAddress: string, seeds: readonly string[]): void {
		writeFileSync(this.#file, createSettingsText({
			vm: this.name, ip: this.ip, callersPort: ports.callers, readyPort: ports.ready, peerPort: ports.peers, storeAddress, seeds, stopTimeoutMs: stopMs, changeTimeoutMs: changeMs,
		}));
	}

	/** Starts the process, unless it runs or was retired. */
	start(): void {
		if (this.isRunning || this.#isRetired) {
			return;
		}

		const child = spawn(process.execPath, ['--import', clock, program], {
			env: {...process.env, [settingsVariable]: this.#file, ROARR_LOG: 'true'}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		const life: Life = {child, startedAt: performance.now(), seenVersion: 0};
		this.lives.push(life);
		this.agent.destroy();
		this.agent = new http.Agent({keepAlive: true, maxSockets: 16});
		child.stdout.resume();
		child.stderr.on('data', (data: Uint8Array) => {
			this.errors += new TextDecoder().decode(data);
		});
		child.on('exit', code => {
			life.exitedAt = performance.now();
			life.code = code ?? -1;
			this.#finishPause();
			this.#onExit(this, life);
		});
	}

	/** Sends SIGTERM. */
	stop(): void {
		if (this.isRunning && this.life) {
			this.life.termAt ??= performance.now();
			this.life.child.kill('SIGTERM');
		}
	}

	/** Sends SIGKILL. */
	abort(): void {
		if (this.isRunning && this.life) {
			this.life.killedAt ??= performance.now();
			this.life.child.kill('SIGKILL');
		}
	}

	/** Kills the process for good. */
	close(): void {
		this.#isRetired = true;
		this.abort();
		this.agent.destroy();
	}

	/** Stops the process with SIGSTOP, or lets it go on. */
	setPaused(isPaused: boolean): void {
		if (!this.isRunning || !this.life) {
			return;
		}

		this.#finishPause();
		if (isPaused) {
			this.pauses.push({from: performance.now(), to: Number.POSITIVE_INFINITY});
		}

		this.life.child.kill(isPaused ? 'SIGSTOP' : 'SIGCONT');
	}

	/** Has the settings read again. */
	reload(): void {
		if (this.isRunning && this.life) {
			this.life.reloadedAt ??= performance.now();
			this.life.child.kill('SIGHUP');
		}
	}

	#finishPause(): void {
		const last = this.pauses.at(-1);
		if (last) {
			last.to = Math.min(last.to, performance.now());
		}
	}

	get #file(): string {
		return path.join(this.#folder, `${this.name}.toml`);
	}
}

import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {writeFileSync} from 'node:fs';
import http from 'node:http';
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';
import {settingsVariable} from '../platform/settings.js';
import {createSettingsText} from '../standins/fleet/index.js';
import {linksVariable} from './linkvariable.js';

/** The entry's program as it is deployed: one bundled file, built by `npm run bundle`. */
const entryProgram = fileURLToPath(new URL('../../target/crocus-platform.mjs', import.meta.url));
const clockModule = fileURLToPath(new URL('clock.js', import.meta.url));
const linksModule = fileURLToPath(new URL('links.js', import.meta.url));
/** Ports that an entry listens on: for callers, for the balancer's readiness check, and for other entries. */
export const ports = {callers: 8080, ready: 8081, peers: 8100} as const;
/** Time between SIGTERM and SIGKILL that an entry is configured with, in milliseconds; it has to stop within this time. */
export const stopTimeoutMs = 8000;
/** Time within which an entry has to apply a new configuration, in milliseconds; set in its settings. */
export const configurationApplyMs = 2000;

/** Time after which callers no longer reuse an idle connection, in milliseconds: four fifths of the configuration's idle timeout, as the users' callers do. */
const maxIdleMs = 4000;

/** Number of log lines on quarantines that are kept for the report. */
const maxQuarantineLines = 40;

/** One start of an entry's process; times are monotonic, in milliseconds. */
export type Incarnation = {
	readonly child: ChildProcess;
	readonly startedAt: number;
	/** Time of its first log line. */
	loggedAt?: number;
	/** Time of the first SIGTERM. */
	sigtermAt?: number;
	/** Time of the first SIGHUP. */
	sighupAt?: number;
	sigkillAt?: number;
	exitedAt?: number;
	/** Exit code; -1 if a signal ended the process. */
	exitCode?: number;
	/** Highest version of the configuration that its answers have shown to be in force. */
	highestSeenVersion: number;
};

/** An entry's VM: runs the real program, one process at a time, and sends signals to it. */
export class SoakVm {
	readonly incarnations: Incarnation[] = [];
	/** Callers' keep-alive connections; replaced when the process is started again. */
	agent = createCallersAgent();
	/** Times at which the process was paused; `to` is infinite while a pause lasts. */
	readonly pauses: Array<{readonly from: number; to: number}> = [];
	/** Its latest log lines on quarantines, oldest first. */
	readonly quarantineLines: string[] = [];
	/** Everything that its processes wrote to standard error. */
	stderr = '';
	/** Addresses of its links to engines and other VMs, by the addresses that these are known by. */
	links: Readonly<Record<string, string>> = {};
	#isClosed = false;
	readonly #folder: string;
	readonly #onExit: (vm: SoakVm, incarnation: Incarnation) => void;

	constructor(readonly name: string, readonly ip: string, folder: string, onExit: (vm: SoakVm, incarnation: Incarnation) => void) {
		this.#folder = folder;
		this.#onExit = onExit;
	}

	/** The latest incarnation, which may have ended. */
	get incarnation(): Incarnation | undefined {
		return this.incarnations.at(-1);
	}

	get isRunning(): boolean {
		return this.incarnation !== undefined && this.incarnation.exitedAt === undefined;
	}

	/** Whether the process was paused at any time between two monotonic times, in milliseconds. */
	hasPauseBetween(from: number, to: number): boolean {
		return this.pauses.some(pause => pause.from < to && pause.to > from);
	}

	/** Writes the entry's settings file; to be called before the first start. */
	writeSettings(storeAddress: string, seeds: readonly string[]): void {
		writeFileSync(this.#settingsFile, createSettingsText({
			vm: this.name, ip: this.ip, callersPort: ports.callers, readyPort: ports.ready, peerPort: ports.peers, storeAddress, seeds, stopTimeoutMs, changeTimeoutMs: configurationApplyMs,
		}));
	}

	/** Starts the process; does nothing while it runs or after {@link close}. */
	start(): void {
		if (this.isRunning || this.#isClosed) {
			return;
		}

		const child = spawn(process.execPath, ['--import', clockModule, '--import', linksModule, entryProgram], {
			env: {
				...process.env, [settingsVariable]: this.#settingsFile, [linksVariable]: JSON.stringify(this.links), ROARR_LOG: 'true',
			},
			stdio: ['ignore', 'pipe', 'pipe'],
		});
		const incarnation: Incarnation = {child, startedAt: performance.now(), highestSeenVersion: 0};
		this.incarnations.push(incarnation);
		this.agent.destroy();
		this.agent = createCallersAgent();
		child.stdout.once('data', () => {
			incarnation.loggedAt = performance.now();
		});
		createInterface({input: child.stdout}).on('line', line => {
			if (line.includes('"kind":"quarantine"')) {
				this.quarantineLines.push(line);
				this.quarantineLines.splice(0, this.quarantineLines.length - maxQuarantineLines);
			}
		});
		child.stderr.on('data', (data: Uint8Array) => {
			this.stderr += new TextDecoder().decode(data);
		});
		child.on('exit', code => {
			incarnation.exitedAt = performance.now();
			incarnation.exitCode = code ?? -1;
			this.#finishPause();
			this.#onExit(this, incarnation);
		});
	}

	/** Sends SIGTERM. */
	stop(): void {
		if (this.isRunning && this.incarnation) {
			this.incarnation.sigtermAt ??= performance.now();
			this.incarnation.child.kill('SIGTERM');
		}
	}

	/** Sends SIGKILL. */
	abort(): void {
		if (this.isRunning && this.incarnation) {
			this.incarnation.sigkillAt ??= performance.now();
			this.incarnation.child.kill('SIGKILL');
		}
	}

	/** Kills the process and prevents further starts. */
	close(): void {
		this.#isClosed = true;
		this.abort();
		this.agent.destroy();
	}

	/** Pauses the process with SIGSTOP, or resumes it with SIGCONT. */
	setPaused(isPaused: boolean): void {
		if (!this.isRunning || !this.incarnation) {
			return;
		}

		this.#finishPause();
		if (isPaused) {
			this.pauses.push({from: performance.now(), to: Number.POSITIVE_INFINITY});
		}

		this.incarnation.child.kill(isPaused ? 'SIGSTOP' : 'SIGCONT');
	}

	/** Makes the process reload its settings, by SIGHUP. */
	reload(): void {
		if (this.isRunning && this.incarnation) {
			this.incarnation.sighupAt ??= performance.now();
			this.incarnation.child.kill('SIGHUP');
		}
	}

	#finishPause(): void {
		const lastPause = this.pauses.at(-1);
		if (lastPause) {
			lastPause.to = Math.min(lastPause.to, performance.now());
		}
	}

	get #settingsFile(): string {
		return path.join(this.#folder, `${this.name}.toml`);
	}
}

function createCallersAgent(): http.Agent {
	return new http.Agent({keepAlive: true, maxSockets: 16, timeout: maxIdleMs});
}

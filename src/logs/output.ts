import {fstatSync} from 'node:fs';
import {Socket} from 'node:net';
import process from 'node:process';
import {ROARR, Roarr} from 'roarr';
import type {TimerService} from '../timers/index.js';

/** Values of a line's fields. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Bytes that may wait for a reader: about a second of lines at the bound below. */
const longestBacklogBytes = 262_144;
/** Lines a second that one process writes; the rest is counted and named in a later line. */
const mostLinesPerSecond = 400;
const millisecondsPerSecond = 1000;

/** Where lines go; `write` returns at once. */
export abstract class LogOutput {
	/** Bytes that were taken and not yet handed on. */
	abstract readonly backlogBytes: number;

	abstract write(text: string): void;
}

/** Standard output, written without ever waiting for its reader. */
export class StandardOutput extends LogOutput {
	/** Node writes a pipe of its own `process.stdout` synchronously, which a reader that stops would block. */
	readonly #socket: Socket | undefined;

	constructor(descriptor: number) {
		super();
		if (fstatSync(descriptor).isFIFO() || fstatSync(descriptor).isSocket()) {
			this.#socket = new Socket({fd: descriptor, readable: false, writable: true});
			this.#socket.on('error', () => {
				// The reader has gone: there is nobody left to tell.
			});
			this.#socket.unref();
		}
	}

	get backlogBytes(): number {
		return this.#socket?.writableLength ?? 0;
	}

	write(text: string): void {
		if (this.#socket) {
			this.#socket.write(text);
		} else {
			process.stdout.write(text);
		}
	}
}

/**
Writes structured lines, bounded in number and in bytes that wait; what is left out is counted and told.

@example
```
logs.write('request', {id, outcome}, 'request ended');
```
*/
export class LineLogs {
	/** Lines left out since the start. */
	dropped = 0;
	readonly #timers: TimerService;
	readonly #output: LogOutput;
	readonly #log: typeof Roarr;
	#credit = mostLinesPerSecond;
	#allowedAt: number;
	#untold = 0;

	constructor(timers: TimerService, output: LogOutput, context: Readonly<Record<string, string>>) {
		this.#timers = timers;
		this.#output = output;
		this.#allowedAt = timers.getNow();
		ROARR.write = (line: string) => {
			this.#output.write(`${line}\n`);
		};

		this.#log = Roarr.child({...context});
	}

	/** Writes one line, unless the bounds are reached. */
	write(kind: string, fields: LogFields, message: string): void {
		const now = this.#timers.getNow();
		const earned = (now - this.#allowedAt) * mostLinesPerSecond / millisecondsPerSecond;
		this.#credit = Math.min(mostLinesPerSecond, this.#credit + earned);
		this.#allowedAt = now;
		if (this.#credit < 1 || this.#output.backlogBytes > longestBacklogBytes) {
			this.dropped++;
			this.#untold++;
			return;
		}

		this.#credit--;
		const untold = this.#untold;
		this.#untold = 0;
		this.#log.info({kind, ...(untold > 0 ? {linesLeftOut: untold} : {}), ...fields} as never, message);
	}
}

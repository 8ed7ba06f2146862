import {fstatSync} from 'node:fs';
import {Socket} from 'node:net';
import process from 'node:process';
import {ROARR, Roarr} from 'roarr';
import type {TimerService} from '../timers/index.js';

/** Values of a line's fields. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Bytes that may wait for a reader: about a second of lines at the bound below. */
const maxBacklogBytes = 262_144;
/** Lines a second that one process writes; the rest is counted and named in a later line. */
const maxLinesPerSecond = 400;
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
export class StructuredLogs {
	/** Lines left out since the start. */
	droppedLines = 0;
	readonly #timers: TimerService;
	readonly #output: LogOutput;
	readonly #log: typeof Roarr;
	#availableLines = maxLinesPerSecond;
	#refilledAt: number;
	#unreportedDrops = 0;

	constructor(timers: TimerService, output: LogOutput, context: Readonly<Record<string, string>>) {
		this.#timers = timers;
		this.#output = output;
		this.#refilledAt = timers.getNow();
		ROARR.write = (line: string) => {
			this.#output.write(`${line}\n`);
		};

		this.#log = Roarr.child({...context});
	}

	/** Writes one line, unless the bounds are reached. */
	write(kind: string, fields: LogFields, message: string): void {
		const now = this.#timers.getNow();
		const refilledLines = (now - this.#refilledAt) * maxLinesPerSecond / millisecondsPerSecond;
		this.#availableLines = Math.min(maxLinesPerSecond, this.#availableLines + refilledLines);
		this.#refilledAt = now;
		if (this.#availableLines < 1 || this.#output.backlogBytes > maxBacklogBytes) {
			this.droppedLines++;
			this.#unreportedDrops++;
			return;
		}

		this.#availableLines--;
		const unreportedDrops = this.#unreportedDrops;
		this.#unreportedDrops = 0;
		this.#log.info({kind, ...(unreportedDrops > 0 ? {linesLeftOut: unreportedDrops} : {}), ...fields} as never, message);
	}
}

import {fstatSync} from 'node:fs';
import {Socket} from 'node:net';
import process from 'node:process';
import {ROARR, Roarr} from 'roarr';
import type {TimerService} from '../timers/index.js';

/** Fields of a log line by name. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Maximum number of bytes that wait for the reader: about one second of lines at the maximum rate. */
const maxBacklogBytes = 262_144;
/** Maximum rate of lines that one process writes; lines above it are dropped, and a later line carries their number. */
const maxLinesPerSecond = 400;
const millisecondsPerSecond = 1000;

/** Destination of log lines; `write` does not block. */
export abstract class LogOutput {
	/** Bytes that were written here and not yet passed to the operating system. */
	abstract readonly backlogBytes: number;

	abstract write(text: string): void;
}

/** Standard output, written without blocking on its reader. */
export class StandardOutput extends LogOutput {
	/** Set for pipes and sockets: `process.stdout` writes to a pipe synchronously, so a stopped reader would block the process. */
	readonly #socket: Socket | undefined;

	constructor(descriptor: number) {
		super();
		if (fstatSync(descriptor).isFIFO() || fstatSync(descriptor).isSocket()) {
			this.#socket = new Socket({fd: descriptor, readable: false, writable: true});
			this.#socket.on('error', () => {
				// The reader has closed its end, so the lines can't be delivered.
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
Writes structured log lines. Their rate and the bytes that wait for the reader are bounded; lines beyond that are dropped, and
the next line written carries the number of them in its field `linesLeftOut`.

@example
```
logs.write('request', {id, outcome}, 'request ended');
```
*/
export class StructuredLogs {
	/** Number of lines dropped since the start. */
	droppedLines = 0;
	readonly #timers: TimerService;
	readonly #output: LogOutput;
	readonly #log: typeof Roarr;
	/** Token bucket: lines that may be written at once. */
	#availableLines = maxLinesPerSecond;
	#refilledAt: number;
	/** Lines dropped since the last line that was written. */
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

	/** Writes one line, or drops it when the rate or the backlog is at its maximum. */
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

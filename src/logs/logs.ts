import process from 'node:process';
import {ROARR, Roarr} from 'roarr';
import type {History} from '../history/index.js';

/** Writes one structured line to standard error for each change of state; returns the end of that. */
export function startLogs(history: History, context: Readonly<Record<string, string>>): () => void {
	ROARR.write = (line: string) => {
		process.stderr.write(`${line}\n`);
	};

	const log = Roarr.child({...context});
	return history.subscribe(({subject, kind, detail, sequence, cause}) => {
		log.info({
			subject, kind, sequence, ...(cause === undefined ? {} : {cause}),
		}, detail);
	});
}

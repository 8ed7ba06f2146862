import process from 'node:process';
import {ROARR, Roarr} from 'roarr';
import type {History} from '../history/index.js';

/**
Writes each event of `history` to standard error as a structured line with the fields of `context`. Returns a function that
stops it.
*/
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

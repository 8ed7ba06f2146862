import {existsSync, readFileSync} from 'node:fs';

const testPrefix = 'test: ';

/** Reads the full titles of the tests that `file` (KNOWN-RED.txt) lists as known to fail; empty if the file does not exist. */
export function readKnownRed(file: string): Set<string> {
	if (!existsSync(file)) {
		return new Set();
	}

	const lines = readFileSync(file, 'utf8').split('\n');
	return new Set(lines.filter(line => line.startsWith(testPrefix)).map(line => line.slice(testPrefix.length).trim()));
}

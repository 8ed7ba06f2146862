import {existsSync, readFileSync} from 'node:fs';

const testPrefix = 'test: ';

/** Reads the full titles of the tests listed in the file of known reds; a missing file lists none. */
export function readKnownRed(file: string): Set<string> {
	if (!existsSync(file)) {
		return new Set();
	}

	const lines = readFileSync(file, 'utf8').split('\n');
	return new Set(lines.filter(line => line.startsWith(testPrefix)).map(line => line.slice(testPrefix.length).trim()));
}

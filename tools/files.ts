import {existsSync, readdirSync} from 'node:fs';
import path from 'node:path';

/** Lists the files below `folder` whose names end with `suffix`, sorted, so that every run has the same order; a missing folder has none. */
export function listFiles(folder: string, suffix: string): string[] {
	if (!existsSync(folder)) {
		return [];
	}

	return readdirSync(folder, {recursive: true, encoding: 'utf8'})
		.filter(name => name.endsWith(suffix))
		.map(name => path.resolve(folder, name))
		.sort();
}

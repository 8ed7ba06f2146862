import {existsSync, readdirSync} from 'node:fs';
import path from 'node:path';

/** Lists the absolute paths of the files below `folder` whose names end with `suffix`, sorted for the same order in every run; empty if the folder does not exist. */
export function listFiles(folder: string, suffix: string): string[] {
	if (!existsSync(folder)) {
		return [];
	}

	return readdirSync(folder, {recursive: true, encoding: 'utf8'})
		.filter(name => name.endsWith(suffix))
		.map(name => path.resolve(folder, name))
		.sort();
}

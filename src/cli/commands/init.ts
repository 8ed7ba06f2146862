import {writeFile} from 'node:fs/promises';
import {Args} from '@oclif/core';
import {OperatorCommand} from '../base.js';
import {exampleConfiguration} from '../example.js';

/** Writes an example configuration text; fails if the file exists. */
export default class Init extends OperatorCommand {
	static override readonly description = 'Write an example text to begin with; an existing file stays as it is.';
	static override readonly args = {file: Args.string({description: 'file to write', default: 'deployment.toml'})};

	async runCommand() {
		const {args} = await this.parse(Init);
		await writeFile(args.file, exampleConfiguration, {flag: 'wx'});
		this.log(`wrote ${args.file}`);
		return {file: args.file};
	}
}

import {readFile} from 'node:fs/promises';
import {Args} from '@oclif/core';
import {parseDeployment} from '../../deployment/index.js';
import {OperatorCommand} from '../base.js';

/** Checks a configuration text locally, without calling an entry. */
export default class Check extends OperatorCommand {
	static override readonly description = 'Check a text: every fault with file, line, key, what was found and what is allowed.';
	static override readonly args = {file: Args.string({description: 'file to check', required: true})};

	async runCommand() {
		const {args} = await this.parse(Check);
		const {services, upstreams} = parseDeployment(await readFile(args.file, 'utf8'), args.file);
		this.log(`${args.file} is good: ${services.length} services, ${upstreams.length} upstreams`);
		return {file: args.file, services: services.length, upstreams: upstreams.length};
	}
}

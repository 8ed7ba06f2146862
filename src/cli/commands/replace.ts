import {Args} from '@oclif/core';
import {operationKind} from '../../operations/index.js';
import {waitFlags} from '../base.js';
import {OperationRequestCommand, upstreamArgs} from '../operationrequest.js';

/** Requests the operation `replace`: another upstream takes the place of one, which is then withdrawn. */
export default class Replace extends OperationRequestCommand {
	static override readonly description = 'Put another upstream of the text in the place of one, then withdraw that one.';
	static override readonly args = {...upstreamArgs, replacement: Args.string({description: 'id of the upstream that takes the place', required: true})};
	static override readonly flags = waitFlags;

	async runCommand() {
		const {args, flags} = await this.parse(Replace);
		return this.runOperation({kind: operationKind.replace, subject: args.upstream, replacement: args.replacement}, flags);
	}
}

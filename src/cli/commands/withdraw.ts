import {operationKind} from '../../operations/index.js';
import {waitFlags} from '../base.js';
import {OperationRequestCommand, upstreamArgs} from '../operationrequest.js';

/** Requests the operation `withdraw`: the upstream is taken out of service for good once its requests have ended. */
export default class Withdraw extends OperationRequestCommand {
	static override readonly description = 'Take an upstream out for good, once its requests have ended.';
	static override readonly args = upstreamArgs;
	static override readonly flags = waitFlags;

	async runCommand() {
		const {args, flags} = await this.parse(Withdraw);
		return this.runOperation({kind: operationKind.withdraw, subject: args.upstream}, flags);
	}
}

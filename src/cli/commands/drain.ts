import {operationKind} from '../../operations/index.js';
import {waitFlags} from '../base.js';
import {OperationRequestCommand, upstreamArgs} from '../operationrequest.js';

/** Asks for `drain`. */
export default class Drain extends OperationRequestCommand {
	static override readonly description = 'No new work for an upstream; its requests end.';
	static override readonly args = upstreamArgs;
	static override readonly flags = waitFlags;

	async runCommand() {
		const {args, flags} = await this.parse(Drain);
		return this.runOperation({kind: operationKind.drain, subject: args.upstream}, flags);
	}
}

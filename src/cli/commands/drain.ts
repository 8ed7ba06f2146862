import {operationKind} from '../../operations/index.js';
import {waitFlags} from '../base.js';
import {OperationRequestCommand, upstreamArgs} from '../operationrequest.js';

/** Requests the operation `drain`: the upstream gets no new requests, and those in progress run to their end. */
export default class Drain extends OperationRequestCommand {
	static override readonly description = 'No new work for an upstream; its requests end.';
	static override readonly args = upstreamArgs;
	static override readonly flags = waitFlags;

	async runCommand() {
		const {args, flags} = await this.parse(Drain);
		return this.runOperation({kind: operationKind.drain, subject: args.upstream}, flags);
	}
}

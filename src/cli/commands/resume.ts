import {operationKind} from '../../operations/index.js';
import {waitFlags} from '../base.js';
import {OperationRequestCommand, upstreamArgs} from '../operationrequest.js';

/** Requests the operation `resume`: a drained upstream gets requests again. */
export default class Resume extends OperationRequestCommand {
	static override readonly description = 'Take a drained upstream into use again.';
	static override readonly args = upstreamArgs;
	static override readonly flags = waitFlags;

	async runCommand() {
		const {args, flags} = await this.parse(Resume);
		return this.runOperation({kind: operationKind.resume, subject: args.upstream}, flags);
	}
}

import {Args} from '@oclif/core';
import {operationKind} from '../../operations/index.js';
import {waitFlags} from '../base.js';
import {OperationRequestCommand} from '../operationrequest.js';

/** Requests the operation `confirm_stopped`: the operator confirms that the process of a VM is stopped and will never send again. Nothing verifies this. */
export default class ConfirmStopped extends OperationRequestCommand {
	static override readonly description = 'Vouch that a VM\'s process is stopped and will never send again; look first, nothing checks it.';
	static override readonly args = {vm: Args.string({description: 'the VM', required: true})};
	static override readonly flags = waitFlags;

	async runCommand() {
		const {args, flags} = await this.parse(ConfirmStopped);
		return this.runOperation({kind: operationKind.confirmStopped, subject: args.vm}, flags);
	}
}

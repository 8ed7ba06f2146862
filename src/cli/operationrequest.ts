import {Args} from '@oclif/core';
import type {Operation, OperationKind} from '../operations/index.js';
import {EntryRefusedError} from '../errors/index.js';
import {OperatorCommand} from './base.js';

/** Answer to a request for an operation; `domain` is the failure domain that it was stored for. */
type OperationResponse = {readonly domain: string; readonly operation: Operation};
/** An operation as a command describes it; the fields are those of `Operation`. */
type RequestedOperation = {readonly kind: OperationKind; readonly subject: string; readonly replacement?: string};
/** Values of `waitFlags`; `timeout` is in seconds. */
type WaitFlags = {readonly entry: readonly string[]; readonly timeout: number; readonly operation?: string};

/** Arguments of commands that operate on one upstream. */
export const upstreamArgs = {upstream: Args.string({description: 'id of the upstream', required: true})};

/** Base of the commands that request an operation and wait until it ends. */
export abstract class OperationRequestCommand extends OperatorCommand {
	/**
	Requests an operation and waits until it ends; prints each change of its state or detail, such as what it waits for.
	With a timeout of 0 it returns without waiting.
	Throws `EntryRefusedError` when the operation is refused and `StillWaitingError` when it has not ended within the timeout.
	*/
	async runOperation(requested: RequestedOperation, flags: WaitFlags): Promise<Operation> {
		const client = this.createClient(flags.entry);
		const id = flags.operation ?? this.createOperationId();
		const {domain, operation} = await client.send<OperationResponse>('operations', {id, ...requested});
		let lastSeen = operation;
		this.log(`operation ${id}: ${requested.kind} ${requested.subject}`);
		if (flags.timeout === 0) {
			return lastSeen;
		}

		return this.waitFor(flags.timeout, async () => {
			const operations = await client.read<readonly Operation[]>('operations', {domain});
			const latest = operations.find(listed => listed.id === id);
			if (latest && (latest.state !== lastSeen.state || latest.detail !== lastSeen.detail)) {
				this.log(`${latest.state} ${latest.detail}`.trimEnd());
			}

			lastSeen = latest ?? lastSeen;
			if (lastSeen.state === 'refused') {
				throw new EntryRefusedError(lastSeen.detail, {props: {status: 409, type: 'OperationRefusedError'}});
			}

			return lastSeen.state === 'done' ? lastSeen : undefined;
		}, () => `operation ${id} is ${lastSeen.state}: ${lastSeen.detail === '' ? 'not taken up yet' : lastSeen.detail}; ask again with --operation ${id}`);
	}
}

import {Args} from '@oclif/core';
import type {Operation, OperationKind} from '../operations/index.js';
import {EntryRefusedError} from '../errors/index.js';
import {OperatorCommand} from './base.js';

type OperationResponse = {readonly domain: string; readonly operation: Operation};
type RequestedOperation = {readonly kind: OperationKind; readonly subject: string; readonly replacement?: string};
type WaitFlags = {readonly entry: readonly string[]; readonly timeout: number; readonly operation?: string};

/** The argument of commands about one upstream. */
export const upstreamArgs = {upstream: Args.string({description: 'id of the upstream', required: true})};

/** Base of the commands that ask for an operation and wait for its end. */
export abstract class OperationRequestCommand extends OperatorCommand {
	/** Asks for the operation and waits until it has ended; says for whom it waits. */
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

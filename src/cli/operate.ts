import {Args} from '@oclif/core';
import type {Operation, OperationKind} from '../operations/index.js';
import {EntryRefusedError} from '../errors/index.js';
import {OperatorCommand} from './base.js';

type Asked = {readonly domain: string; readonly operation: Operation};
type Asking = {readonly kind: OperationKind; readonly subject: string; readonly replacement?: string};
type Waiting = {readonly entry: readonly string[]; readonly timeout: number; readonly operation?: string};

/** The argument of commands about one upstream. */
export const upstreamArgs = {upstream: Args.string({description: 'id of the upstream', required: true})};

/** Base of the commands that ask for an operation and wait for its end. */
export abstract class AskCommand extends OperatorCommand {
	/** Asks for the operation and waits until it has ended; says for whom it waits. */
	async runOperation(asking: Asking, flags: Waiting): Promise<Operation> {
		const client = this.createClient(flags.entry);
		const id = flags.operation ?? this.createId();
		const {domain, operation} = await client.send<Asked>('operations', {id, ...asking});
		let last = operation;
		this.log(`operation ${id}: ${asking.kind} ${asking.subject}`);
		if (flags.timeout === 0) {
			return last;
		}

		return this.waitFor(flags.timeout, async () => {
			const operations = await client.read<readonly Operation[]>('operations', {domain});
			const found = operations.find(known => known.id === id);
			if (found && (found.state !== last.state || found.detail !== last.detail)) {
				this.log(`${found.state} ${found.detail}`.trimEnd());
			}

			last = found ?? last;
			if (last.state === 'refused') {
				throw new EntryRefusedError(last.detail, {props: {status: 409, type: 'OperationRefusedError'}});
			}

			return last.state === 'done' ? last : undefined;
		}, () => `operation ${id} is ${last.state}: ${last.detail === '' ? 'not taken up yet' : last.detail}; ask again with --operation ${id}`);
	}
}

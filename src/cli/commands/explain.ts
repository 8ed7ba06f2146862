import {Args} from '@oclif/core';
import {refusalReason} from '../../errors/index.js';
import {entryFlags, OperatorCommand} from '../base.js';
import {formatEvents} from '../events.js';
import type {EventsResponse} from '../events.js';
import {explainRefusal} from '../refusals.js';

/** Lists the events of one subject with the events that caused them, or prints the meaning of a refusal reason. */
export default class Explain extends OperatorCommand {
	static override readonly description = 'Explain an engine, request, operation, entry, domain or refusal reason: what happened and why.';
	static override readonly args = {
		what: Args.string({description: 'kind of subject', required: true, options: ['engine', 'request', 'operation', 'member', 'domain', 'refusal']}),
		name: Args.string({description: 'its id, or the reason of a refusal', required: true}),
	};

	static override readonly flags = entryFlags;

	async runCommand() {
		const {args, flags} = await this.parse(Explain);
		if (args.what === 'refusal') {
			return this.#explainRefusal(args.name);
		}

		const response = await this.createClient(flags.entry).read<EventsResponse>('explain', {subject: `${args.what}/${args.name}`});
		const lines = formatEvents(response);
		for (const line of lines.length === 0 ? [`no entry remembers ${args.what} ${args.name}`] : lines) {
			this.log(line);
		}

		return response;
	}

	#explainRefusal(name: string) {
		const reason = Object.values(refusalReason).find(known => known === name);
		if (reason === undefined) {
			return this.error(`${name} is not a reason; reasons are ${Object.values(refusalReason).join(', ')}`, {exit: 2});
		}

		const meaning = explainRefusal(reason);
		this.log(meaning);
		return {reason, meaning};
	}
}

import {Flags} from '@oclif/core';
import {entryFlags, OperatorCommand} from '../base.js';
import {formatEvents} from '../events.js';
import type {EventsResponse} from '../events.js';

/** Lists the changes of state that the entries remember, optionally those of one subject. */
export default class Events extends OperatorCommand {
	static override readonly description = 'List the changes of state that the entries remember.';
	static override readonly flags = {...entryFlags, subject: Flags.string({description: 'only of this subject, such as engine/engine-1'})};

	async runCommand() {
		const {flags} = await this.parse(Events);
		const response = await this.createClient(flags.entry).read<EventsResponse>('events', flags.subject === undefined ? {} : {subject: flags.subject});
		for (const line of formatEvents(response)) {
			this.log(line);
		}

		return response;
	}
}

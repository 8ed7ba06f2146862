import {entryFlags, OperatorCommand} from '../base.js';

/** Answer of `/ops/status`, as far as it is printed. `operations` holds the operations of each failure domain, or a text that says why they could not be read. */
type StatusResponse = {
	readonly vm: string;
	readonly domain: string;
	readonly configuration: {readonly version: number; readonly certainty: string; readonly refused?: string};
	readonly members: ReadonlyArray<{readonly vm: string; readonly domain: string; readonly isLive: boolean; readonly isLeaving: boolean; readonly fact?: {readonly configuration: number}}>;
	readonly upstreams: ReadonlyArray<{readonly key: string; readonly value: {readonly state: string}}>;
	readonly authorities: Readonly<Record<string, {readonly holder?: string; readonly fence?: number}>>;
	readonly operations: Readonly<Record<string, string | ReadonlyArray<{readonly id: string; readonly kind: string; readonly subject: string; readonly state: string; readonly detail: string}>>>;
};

/** Printed for each value of `configuration.certainty`. */
const certaintyTexts: Readonly<Record<string, string>> = {
	store: 'read from the store',
	peers: 'by most of the entries; the store was not read since the start',
	unknown: 'it can not be told whether this is the latest',
	none: 'none is known',
};

/** Prints the state of a deployment as one entry knows it, with the operations that have not ended. */
export default class Status extends OperatorCommand {
	static override readonly description = 'Show the configuration in force, entries, upstreams, authorities and operations that wait.';
	static override readonly flags = entryFlags;

	async runCommand() {
		const {flags} = await this.parse(Status);
		const status = await this.createClient(flags.entry).read<StatusResponse>('status');
		const {version, certainty, refused} = status.configuration;
		this.log(`configuration: version ${version} (${certaintyTexts[certainty] ?? certainty})${refused === undefined ? '' : `; ${refused}`}`);
		for (const {vm, domain, isLive, isLeaving, fact} of status.members) {
			this.log(`entry ${vm}: ${domain}, ${isLive ? 'live' : 'not heard from'}${isLeaving ? ', leaving' : ''}, version ${fact?.configuration ?? 'unknown'}`);
		}

		for (const {key, value} of status.upstreams) {
			this.log(`upstream ${key}: ${value.state}`);
		}

		for (const [domain, {holder, fence}] of Object.entries(status.authorities)) {
			this.log(`authority of ${domain}: ${holder ?? 'none yet'}${fence === undefined ? '' : `, fence ${fence}`}`);
		}

		this.#printOperations(status);
		return status;
	}

	#printOperations({operations}: StatusResponse): void {
		for (const [domain, domainOperations] of Object.entries(operations)) {
			if (typeof domainOperations === 'string') {
				this.log(`operations of ${domain}: ${domainOperations}`);
				continue;
			}

			for (const {id, kind, subject, state, detail} of domainOperations.filter(operation => operation.state !== 'done' && operation.state !== 'refused')) {
				this.log(`operation ${id}: ${kind} ${subject}, ${state} ${detail}`.trimEnd());
			}
		}
	}
}

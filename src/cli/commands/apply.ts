import {readFile} from 'node:fs/promises';
import {Args, Flags} from '@oclif/core';
import {compareDeployments, formatDifferences, parseDeployment} from '../../deployment/index.js';
import type {OperatorClient} from '../client.js';
import {OperatorCommand, waitFlags} from '../base.js';

/** Answer of `/ops/apply`; `isRepeat` is true when the same operation was accepted before. */
type ApplyResponse = {readonly version: number; readonly isRepeat: boolean};
/** Answer of `/ops/spread`: VMs whose entries have the requested version or a later one in force, and the others with the version that each has. */
type SpreadResponse = {readonly inForce: readonly string[]; readonly notYet: ReadonlyArray<{readonly vm: string; readonly isLive: boolean; readonly version: number}>};

/** Applies a configuration text and waits until it is in force at every entry. */
export default class Apply extends OperatorCommand {
	static override readonly description = 'Apply a text: shows the difference, and waits until it is in force everywhere.';
	static override readonly args = {file: Args.string({description: 'file to apply', required: true})};
	static override readonly flags = {
		...waitFlags,
		base: Flags.integer({description: 'version that was edited, as `crocus status` shows it; 0 for the first', required: true, min: 0}),
	};

	async runCommand() {
		const {args, flags} = await this.parse(Apply);
		const text = await readFile(args.file, 'utf8');
		const deployment = parseDeployment(text, args.file);
		const client = this.createClient(flags.entry);
		const current = await client.read<{readonly text: string}>('configuration');
		const difference = formatDifferences(compareDeployments(current.text === '' ? undefined : parseDeployment(current.text), deployment));
		this.log(difference === '' ? 'no difference' : difference);
		const operation = flags.operation ?? this.createOperationId();
		this.log(`operation ${operation}`);
		const applied = await client.send<ApplyResponse>('apply', {text, base: flags.base, operation});
		this.log(`${applied.isRepeat ? 'was accepted before' : 'accepted'} as version ${applied.version}`);
		const spread = flags.timeout === 0 ? undefined : await this.#waitUntilInForce(client, applied.version, flags.timeout);
		return {
			...applied, operation, difference, spread,
		};
	}

	async #waitUntilInForce(client: OperatorClient, version: number, timeoutSeconds: number): Promise<SpreadResponse> {
		let progress = '';
		return this.waitFor(timeoutSeconds, async () => {
			const spread = await client.read<SpreadResponse>('spread', {version: String(version)});
			const pendingNames = spread.notYet.map(({vm, isLive}) => isLive ? vm : `${vm} (not heard from)`).join(', ');
			const newProgress = `in force at ${spread.inForce.length}${pendingNames === '' ? ', everywhere' : `; not yet at ${pendingNames}`}`;
			if (newProgress !== progress) {
				this.log(newProgress);
				progress = newProgress;
			}

			return spread.notYet.length === 0 ? spread : undefined;
		}, () => `version ${version} is accepted and ${progress}`);
	}
}

import {readFile} from 'node:fs/promises';
import {Args, Flags} from '@oclif/core';
import {compareDeployments, formatDifferences, parseDeployment} from '../../deployment/index.js';
import type {OperatorClient} from '../client.js';
import {OperatorCommand, waitFlags} from '../base.js';

type Applied = {readonly version: number; readonly isRepeat: boolean};
type Spread = {readonly inForce: readonly string[]; readonly notYet: ReadonlyArray<{readonly vm: string; readonly isLive: boolean; readonly version: number}>};

/** Applies a text and waits until it is in force everywhere. */
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
		const known = await client.read<{readonly text: string}>('configuration');
		const difference = formatDifferences(compareDeployments(known.text === '' ? undefined : parseDeployment(known.text), deployment));
		this.log(difference === '' ? 'no difference' : difference);
		const operation = flags.operation ?? this.createId();
		this.log(`operation ${operation}`);
		const applied = await client.send<Applied>('apply', {text, base: flags.base, operation});
		this.log(`${applied.isRepeat ? 'was accepted before' : 'accepted'} as version ${applied.version}`);
		const spread = flags.timeout === 0 ? undefined : await this.#waitForSpread(client, applied.version, flags.timeout);
		return {
			...applied, operation, difference, spread,
		};
	}

	async #waitForSpread(client: OperatorClient, version: number, seconds: number): Promise<Spread> {
		let progress = '';
		return this.waitFor(seconds, async () => {
			const spread = await client.read<Spread>('spread', {version: String(version)});
			const names = spread.notYet.map(({vm, isLive}) => isLive ? vm : `${vm} (not heard from)`).join(', ');
			const next = `in force at ${spread.inForce.length}${names === '' ? ', everywhere' : `; not yet at ${names}`}`;
			if (next !== progress) {
				this.log(next);
				progress = next;
			}

			return spread.notYet.length === 0 ? spread : undefined;
		}, () => `version ${version} is accepted and ${progress}`);
	}
}

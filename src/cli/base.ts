import {randomUUID} from 'node:crypto';
import process from 'node:process';
import {Command, Errors, Flags} from '@oclif/core';
import {StillWaitingError} from '../errors/index.js';
import {SystemTimers} from '../timers/index.js';
import {OperatorClient} from './client.js';
import {getExitCode} from './exitcodes.js';

const pollIntervalMs = 200;
const defaultEntryAddress = '127.0.0.1:8001';

/** What every command takes. */
export const entryFlags = {
	entry: Flags.string({
		description: 'address of an entry as host:port; several may be given, the next is asked when one can not be reached',
		multiple: true,
		delimiter: ',',
		// The library takes a variable's letters one by one for a flag of several values.
		default: async () => (process.env.CROCUS_ENTRY ?? defaultEntryAddress).split(','),
		defaultHelp: async () => `CROCUS_ENTRY or ${defaultEntryAddress}`,
	}),
};

/** Flags of commands that wait for their end. */
export const waitFlags = {
	...entryFlags,
	timeout: Flags.integer({description: 'seconds to wait for the end; 0 does not wait', default: 60, min: 0}),
	operation: Flags.string({description: 'id of the operation; asking again with the same id asks once'}),
};

/** Base of the commands: one way of failing and of waiting. */
export abstract class OperatorCommand extends Command {
	static override readonly enableJsonFlag = true;
	readonly timers = new SystemTimers();

	async run(): Promise<unknown> {
		try {
			return await this.runCommand();
		} catch (error) {
			if (error instanceof Errors.CLIError) {
				throw error;
			}

			process.exitCode = getExitCode(error);
			return this.#reportFailure(error);
		}
	}

	/** Makes the client of the entries given. */
	createClient(addresses: readonly string[]): OperatorClient {
		return new OperatorClient(addresses);
	}

	/** Makes an operation's id. */
	createOperationId(): string {
		return randomUUID();
	}

	/** Calls `check` until it returns something. Throws `StillWaitingError` with what `explain` says after `seconds`. */
	async waitFor<Result>(timeoutSeconds: number, check: () => Promise<Result | undefined>, explain: () => string): Promise<Result> {
		const deadlineAt = this.timers.getNow() + (timeoutSeconds * 1000);
		for (;;) {
			const result = await check();
			if (result !== undefined) {
				return result;
			}

			if (this.timers.getNow() >= deadlineAt) {
				throw new StillWaitingError(explain());
			}

			await this.timers.sleep(pollIntervalMs);
		}
	}

	/** The command's work; its result is what `--json` prints. */
	abstract runCommand(): Promise<unknown>;

	/** Tells a failure: `--json` prints the result. */
	#reportFailure(error: unknown): unknown {
		const failure = error instanceof Error ? error : new StillWaitingError(String(error));
		if (!this.jsonEnabled()) {
			this.logToStderr(`${failure.name}: ${failure.message}`);
		}

		return {error: {...failure, type: failure.name, message: failure.message}, exitCode: getExitCode(error)};
	}
}

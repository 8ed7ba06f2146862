import {randomUUID} from 'node:crypto';
import process from 'node:process';
import {Command, Errors, Flags} from '@oclif/core';
import {StillWaitingError} from '../errors/index.js';
import {SystemTimers} from '../timers/index.js';
import {OperatorClient} from './client.js';
import {getExitCode} from './exitcodes.js';

const pollIntervalMs = 200;
const defaultEntryAddress = '127.0.0.1:8001';

/** Flags of every command that calls an entry. */
export const entryFlags = {
	entry: Flags.string({
		description: 'address of an entry as host:port; several may be given, the next is asked when one can not be reached',
		multiple: true,
		delimiter: ',',
		// Not oclif's `env` option: for a flag of several values it would take each character of the variable as a value.
		default: async () => (process.env.CROCUS_ENTRY ?? defaultEntryAddress).split(','),
		defaultHelp: async () => `CROCUS_ENTRY or ${defaultEntryAddress}`,
	}),
};

/** Flags of commands that wait until what they requested has ended. */
export const waitFlags = {
	...entryFlags,
	timeout: Flags.integer({description: 'seconds to wait for the end; 0 does not wait', default: 60, min: 0}),
	operation: Flags.string({description: 'id of the operation; asking again with the same id asks once'}),
};

/** Base of all commands of `crocus`: reports failures, sets the exit code and waits for results in the same way for each. */
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

	/** Creates a client that calls the entries at `addresses` (`host:port`), each one only if those before it fail to answer. */
	createClient(addresses: readonly string[]): OperatorClient {
		return new OperatorClient(addresses);
	}

	/** Creates the id of an operation when `--operation` gives none. */
	createOperationId(): string {
		return randomUUID();
	}

	/**
	Calls `check` repeatedly until it returns a result, and at least once.
	Throws `StillWaitingError` with the message that `explain` returns when there is no result after `timeoutSeconds`.
	*/
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

	/** Runs the command. `--json` prints the result. */
	abstract runCommand(): Promise<unknown>;

	/** Prints a failure to stderr, unless `--json` is given: then the returned object is printed. */
	#reportFailure(error: unknown): unknown {
		const failure = error instanceof Error ? error : new StillWaitingError(String(error));
		if (!this.jsonEnabled()) {
			this.logToStderr(`${failure.name}: ${failure.message}`);
		}

		return {error: {...failure, type: failure.name, message: failure.message}, exitCode: getExitCode(error)};
	}
}

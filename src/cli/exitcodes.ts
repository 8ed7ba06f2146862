import {
	EntryRefusedError, EntryUnreachableError, InvalidTextError, StillWaitingError,
} from '../errors/index.js';

/** Exit codes of `crocus` and `crocus-check`. */
export const exitCode = {
	success: 0,
	failure: 1,
	/** The arguments or flags are wrong. */
	usage: 2,
	/** A configuration text or settings file is invalid. */
	invalidText: 3,
	/** The text to apply conflicts with the current configuration, or the requested operation was refused. */
	conflict: 4,
	/** No entry could be reached, or none gave a readable answer. */
	unreachable: 5,
	/** The request was accepted but had not ended within the timeout. */
	stillWaiting: 6,
} as const;

/** See {@link exitCode}. */
export type ExitCode = (typeof exitCode)[keyof typeof exitCode];

/** Returns the exit code for a failure; `failure` for an error without a code of its own. */
export function getExitCode(error: unknown): ExitCode {
	if (error instanceof InvalidTextError) {
		return exitCode.invalidText;
	}

	if (error instanceof EntryUnreachableError) {
		return exitCode.unreachable;
	}

	if (error instanceof StillWaitingError) {
		return exitCode.stillWaiting;
	}

	return error instanceof EntryRefusedError ? getRefusalExitCode(error.type, error.status) : exitCode.failure;
}

function getRefusalExitCode(type: string, status: number): ExitCode {
	if (type === 'InvalidTextError') {
		return exitCode.invalidText;
	}

	return status === 409 ? exitCode.conflict : exitCode.failure;
}

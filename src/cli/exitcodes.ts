import {
	EntryRefusedError, EntryUnreachableError, InvalidTextError, StillWaitingError,
} from '../errors/index.js';

/** How the operators' programs end. */
export const exitCode = {
	success: 0,
	failure: 1,
	usage: 2,
	invalidText: 3,
	conflict: 4,
	unreachable: 5,
	stillWaiting: 6,
} as const;

/** See {@link exitCode}. */
export type ExitCode = (typeof exitCode)[keyof typeof exitCode];

/** Tells the exit code of a failure. */
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

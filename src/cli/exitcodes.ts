import {
	EntryRefusedError, EntryUnreachableError, InvalidTextError, StillWaitingError,
} from '../errors/index.js';

/** How the operators' programs end. */
export const exitCode = {
	done: 0,
	failed: 1,
	usage: 2,
	badText: 3,
	conflict: 4,
	notReachable: 5,
	stillWaiting: 6,
} as const;

/** See {@link exitCode}. */
export type ExitCode = (typeof exitCode)[keyof typeof exitCode];

/** Tells the exit code of a failure. */
export function getExitCode(error: unknown): ExitCode {
	if (error instanceof InvalidTextError) {
		return exitCode.badText;
	}

	if (error instanceof EntryUnreachableError) {
		return exitCode.notReachable;
	}

	if (error instanceof StillWaitingError) {
		return exitCode.stillWaiting;
	}

	return error instanceof EntryRefusedError ? getRefusedCode(error.type, error.status) : exitCode.failed;
}

function getRefusedCode(type: string, status: number): ExitCode {
	if (type === 'InvalidTextError') {
		return exitCode.badText;
	}

	return status === 409 ? exitCode.conflict : exitCode.failed;
}

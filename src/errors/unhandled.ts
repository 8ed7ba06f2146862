import process from 'node:process';

/** Maximum number of lines of a stack in a log line. */
const maxStackLines = 6;

/** How an error reached the process: thrown in a callback, or in a promise that nobody awaits. */
export type UnhandledErrorKind = 'exception' | 'rejection';

/**
Calls `onError` with each error that nothing in the process has handled, in place of ending the process: all other requests in progress are
sound, and an end would cut them. What `onError` throws does end the process.
*/
export function subscribeUnhandledErrors(onError: (kind: UnhandledErrorKind, error: unknown) => void): void {
	process.on('uncaughtException', error => {
		onError('exception', error);
	});
	process.on('unhandledRejection', error => {
		onError('rejection', error);
	});
}

/** Formats an error for a log line, with the first lines of its stack. */
export function formatError(error: unknown): string {
	return error instanceof Error ? (error.stack ?? `${error.name}: ${error.message}`).split('\n').slice(0, maxStackLines).join('\n') : String(error);
}

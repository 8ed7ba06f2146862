const connectErrorCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

/** Returns whether the error of a request proves that no connection could be opened, so that nothing was sent. */
export function isConnectError(error: unknown): boolean {
	return connectErrorCodes.has((error as {code?: string}).code ?? '');
}

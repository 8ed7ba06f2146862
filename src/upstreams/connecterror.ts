const connectErrorCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

/** Asks whether the error of a request proves that no connection was there to send it on. */
export function isConnectError(error: unknown): boolean {
	return connectErrorCodes.has((error as {code?: string}).code ?? '');
}

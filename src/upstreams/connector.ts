import {buildConnector} from 'undici';

/** Code of the error with which a connection ends that its upstream has reset. */
const resetCode = 'CROCUS_CONNECTION_RESET';

/**
Creates a connector of undici for connections to upstreams. undici takes a reset (`ECONNRESET`) of a connection whose answer has
neither a length nor chunks for the end of a complete answer. Here the error of a reset has another code, so that the answer fails.
`timeout` is the time to connect, in milliseconds.
*/
export function createConnector(timeout: number): buildConnector.connector {
	const connect = buildConnector({timeout});
	return (options, callback) => {
		connect(options, (...[error, socket]) => {
			if (error) {
				callback(error, null);
				return;
			}

			socket.prependListener('error', (socketError: NodeJS.ErrnoException) => {
				if (socketError.code === 'ECONNRESET') {
					socketError.code = resetCode;
				}
			});
			callback(null, socket);
		});
	};
}

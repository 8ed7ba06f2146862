import {STATUS_CODES} from 'node:http';
import type {Server} from 'node:http';
import type {Socket} from 'node:net';
import type {History} from '../history/index.js';

/** Statuses of refusals, by the code of Node's error. */
const statusByCode: ReadonlyMap<string, number> = new Map([['ERR_HTTP_REQUEST_TIMEOUT', 408], ['HPE_HEADER_OVERFLOW', 431]]);

type CallerConnection = {
	requestsInProgress: number;
	/** Whether what came after its requests could not be read. */
	isUnreadable: boolean;
};

/**
Handles what callers send that is no request, or not complete in time. Where a request of the connection is in progress, its answer goes on and the connection
closes after it: Node would write a refusal in place of the answer, or cut it. Otherwise it is refused and the connection closed.
*/
export function handleUnreadableRequests(server: Server, history: History): void {
	const connections = new WeakMap<Socket, CallerConnection>();
	server.on('request', ({socket}, response) => {
		const connection = connections.get(socket) ?? {requestsInProgress: 0, isUnreadable: false};
		connections.set(socket, connection);
		connection.requestsInProgress++;
		response.once('close', () => {
			connection.requestsInProgress--;
			if (connection.isUnreadable && connection.requestsInProgress === 0) {
				socket.destroySoon();
			}
		});
	});
	server.on('clientError', (error: NodeJS.ErrnoException, stream) => {
		const socket = stream as Socket;
		const connection = connections.get(socket);
		if (connection?.isUnreadable) {
			return;
		}

		const cause = error.code ?? error.message;
		if (connection && connection.requestsInProgress > 0 && socket.writable) {
			connection.isUnreadable = true;
			// Node does not notice the end of a connection that it can't read: the caller would not be taken to have left.
			socket.once('end', () => {
				socket.destroy();
			});
			history.record({subject: 'caller', kind: 'unreadable', detail: `${cause} after a request in progress; connection closes after its answer`});
			return;
		}

		history.record({subject: 'caller', kind: 'unreadable', detail: `${cause}; connection closed`});
		if (socket.writable) {
			const status = statusByCode.get(cause) ?? 400;
			socket.write(`HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nConnection: close\r\n\r\n`);
		}

		socket.destroySoon();
	});
}

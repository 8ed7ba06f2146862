// Helpers of the stand-ins' HTTP servers.

/** Listens at a free port of `host`, or at `port`; returns `host:port`. */
export async function listen(server, host, port = 0) {
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
	return `${host}:${server.address().port}`;
}

export async function readBody(request) {
	let text = '';
	request.setEncoding('latin1');
	for await (const chunk of request) {
		text += chunk;
	}

	return text;
}

export function sendJson(response, status, body, headers = {}) {
	const text = JSON.stringify(body);
	response.writeHead(status, {'Content-Type': 'application/json', 'Content-Length': text.length, ...headers});
	response.end(text);
}

export async function sleep(ms) {
	await new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}

import type {ServerResponse} from 'node:http';
import polka from 'polka';
import {readJson, sendJson} from '../http.js';

type Entry = {value: string; revision: number};
type Lease = {holder: string; until: number};

/** Starts the stand-in of the platform: key-value service with compare-and-swap, leases and watches, and the list of VMs. */
export async function startPlatform(address: string): Promise<void> {
	const entries = new Map<string, Entry>();
	const leases = new Map<string, Lease>();
	let vms: unknown[] = [];
	let revision = 0;
	const waiters = new Map<string, Set<() => void>>();
	const app = polka();
	app.get('/kv/:key', (request, response) => {
		const entry = entries.get(decodeURIComponent(request.params.key ?? ''));
		sendJson(response, entry ? 200 : 404, entry ?? {});
	});
	app.put('/kv/:key', async (request, response) => {
		const key = decodeURIComponent(request.params.key ?? '');
		const {value, expectedRevision} = await readJson(request) as {value: string; expectedRevision: number};
		const known = entries.get(key)?.revision ?? 0;
		if (known !== expectedRevision) {
			sendJson(response, 409, {revision: known});
			return;
		}

		revision++;
		entries.set(key, {value, revision});
		sendJson(response, 200, {revision});
		for (const wake of waiters.get(key) ?? []) {
			wake();
		}
	});
	app.get('/watch/:key', (request, response) => {
		const key = decodeURIComponent(request.params.key ?? '');
		const after = Number(request.query.after);
		const wait = Number(request.query.wait);
		const trySend = () => sendNewer(response, entries.get(key), after);
		if (trySend()) {
			return;
		}

		const set = waiters.get(key) ?? new Set();
		waiters.set(key, set);
		const onEnd = () => {
			clearTimeout(timer);
			set.delete(onChange);
		};

		const onChange = () => {
			if (trySend()) {
				onEnd();
			}
		};

		const timer = setTimeout(() => {
			onEnd();
			response.writeHead(204).end();
		}, wait);
		set.add(onChange);
		response.on('close', onEnd);
	});
	app.post('/leases/:name', async (request, response) => {
		const name = decodeURIComponent(request.params.name ?? '');
		const {holder, ttlMs} = await readJson(request) as {holder: string; ttlMs: number};
		const lease = leases.get(name);
		if (lease && lease.holder !== holder && lease.until > Date.now()) {
			sendJson(response, 409, {holder: lease.holder});
			return;
		}

		leases.set(name, {holder, until: Date.now() + ttlMs});
		sendJson(response, 200, {name, holder, ttlMs});
	});
	app.delete('/leases/:name', async (request, response) => {
		const name = decodeURIComponent(request.params.name ?? '');
		const {holder} = await readJson(request) as {holder: string};
		if (leases.get(name)?.holder === holder) {
			leases.delete(name);
		}

		sendJson(response, 200, {});
	});
	app.get('/vms', (_request, response) => {
		sendJson(response, 200, {vms});
	});
	app.put('/vms', async (request, response) => {
		({vms} = await readJson(request) as {vms: unknown[]});
		sendJson(response, 200, {});
	});
	const [host, port] = address.split(':');
	await new Promise<void>(resolve => {
		app.listen(Number(port), host, resolve);
	});
}

function sendNewer(response: ServerResponse, entry: Entry | undefined, after: number): boolean {
	if (!entry || entry.revision <= after) {
		return false;
	}

	sendJson(response, 200, entry);
	return true;
}

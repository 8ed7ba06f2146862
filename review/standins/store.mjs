/* eslint-disable camelcase -- Field names are those of the users' platform. */
// Stand-in of the platform's store: keys, leases, watches and eras over HTTP, as the users' protocol page describes them.
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {listen, readBody, sendJson} from './http.mjs';

export class Store {
	#era = 1;
	#revision = 1;
	#nextLease = 100;
	#items = new Map();
	#events = [];
	#leases = new Map();
	#watchers = new Set();
	#server = createServer(async (request, response) => {
		await this.#serve(request, response);
	});
	address = '';

	async start() {
		this.address = await listen(this.#server, '127.0.0.1');
	}

	stop() {
		for (const {timer} of this.#leases.values()) {
			clearTimeout(timer);
		}

		this.#server.close();
		this.#server.closeAllConnections();
	}

	/** Writes as the operator and the engines do. Returns the revision. */
	write(key, value, lease = 0) {
		const bytes = Buffer.from(typeof value === 'string' ? value : JSON.stringify(value));
		this.#revision++;
		const item = {
			key, value: bytes.toString('base64'), revision: this.#revision, created_rev: this.#items.get(key)?.created_rev ?? this.#revision, lease,
		};
		this.#items.set(key, item);
		this.#publish(item);
		return this.#revision;
	}

	remove(key) {
		if (this.#items.delete(key)) {
			this.#revision++;
			this.#publish({key, revision: this.#revision, deleted: true});
		}
	}

	/** Copies the contents, for a later drill. */
	copy() {
		return {
			revision: this.#revision, nextLease: this.#nextLease, items: new Map(this.#items), leases: new Map([...this.#leases].map(([id, {ttlMs}]) => [id, ttlMs])),
		};
	}

	/** Comes back from a copy: the era rises, and revisions and leases after the copy are gone. */
	restore({revision, nextLease, items, leases}) {
		this.#era++;
		this.#revision = revision;
		this.#nextLease = nextLease;
		this.#items = new Map(items);
		this.#events = this.#events.filter(event => event.revision <= revision);
		for (const {timer} of this.#leases.values()) {
			clearTimeout(timer);
		}

		this.#leases.clear();
		for (const [id, ttlMs] of leases) {
			this.#leases.set(id, {ttlMs, timer: this.#startExpiry(id, ttlMs)});
		}

		this.#watchers.clear();
		this.#server.closeAllConnections();
	}

	#publish(event) {
		this.#events.push(event);
		for (const onChange of this.#watchers) {
			onChange();
		}
	}

	async #serve(request, response) {
		const url = new URL(request.url, 'http://store');
		const body = request.method === 'POST' ? JSON.parse(await readBody(request)) : {};
		response.setHeader('Store-Era', String(this.#era));
		const [, call, id] = url.pathname.split('/');
		switch (call) {
			case 'kv-key': {
				const item = this.#items.get(url.searchParams.get('key'));
				sendJson(response, item ? 200 : 404, item ? {...item, as_of: this.#revision} : {});

				break;
			}

			case 'kv-range': {
				const prefix = url.searchParams.get('path_prefix') ?? '';
				const after = url.searchParams.get('after') ?? '';
				const items = [...this.#items.values()].filter(({key}) => key.startsWith(prefix) && key > after).sort((left, right) => left.key < right.key ? -1 : 1);
				sendJson(response, 200, {items: items.slice(0, 500), has_more: items.length > 500, as_of: this.#revision});

				break;
			}

			case 'kv-watch': {
				this.#watch(url, response);

				break;
			}

			case 'kv-lease': {
				const lease = this.#nextLease++;
				this.#leases.set(lease, {ttlMs: body.ttl_ms, timer: this.#startExpiry(lease, body.ttl_ms)});
				sendJson(response, 200, {lease, ttl_ms: body.ttl_ms});

				break;
			}

			case 'kv-keep': {
				const lease = this.#leases.get(Number(id));
				if (lease) {
					clearTimeout(lease.timer);
					lease.timer = this.#startExpiry(Number(id), lease.ttlMs);
				}

				sendJson(response, lease ? 200 : 404, {ttl_ms: lease?.ttlMs ?? 0});

				break;
			}

			case 'kv-txn': {
				this.#commit(body, response);

				break;
			}

			default: {
				sendJson(response, 404, {});
			}
		}
	}

	#commit({expected, writes, remove}, response) {
		if (expected.some(({key, revision}) => (this.#items.get(key)?.revision ?? 0) !== revision)) {
			sendJson(response, 412, {items: []});
			return;
		}

		if (writes.some(({lease}) => lease !== 0 && !this.#leases.has(lease))) {
			sendJson(response, 404, {});
			return;
		}

		for (const key of remove) {
			this.remove(key);
		}

		for (const {key, value, lease} of writes) {
			this.write(key, Buffer.from(value, 'base64').toString(), lease);
		}

		sendJson(response, 200, {revision: this.#revision});
	}

	#watch(url, response) {
		const prefix = url.searchParams.get('path_prefix') ?? '';
		const after = Number(url.searchParams.get('after'));
		if (after > this.#revision) {
			sendJson(response, 410, {});
			return;
		}

		const list = () => this.#events.filter(({key, revision}) => revision > after && key.startsWith(prefix));
		const send = () => {
			clearTimeout(timer);
			this.#watchers.delete(onChange);
			sendJson(response, 200, {events: list(), as_of: this.#revision});
		};

		const onChange = () => {
			if (list().length > 0) {
				send();
			}
		};

		const timer = setTimeout(send, Number(url.searchParams.get('wait_ms')));
		this.#watchers.add(onChange);
		onChange();
	}

	#startExpiry(id, ttlMs) {
		return setTimeout(() => {
			this.#leases.delete(id);
			for (const {key, lease} of this.#items.values()) {
				if (lease === id) {
					this.remove(key);
				}
			}
		}, ttlMs);
	}
}

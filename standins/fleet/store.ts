import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {readJson, sendJson} from '../http.js';

/** A key with its value in base64, its revisions and the id of its lease, 0 for none. */
type StoredItem = {readonly key: string; readonly value: string; readonly revision: number; readonly createdRevision: number; readonly lease: number};
/** A change of a key; `item` is `undefined` when the key was removed. */
type ChangeEvent = {readonly revision: number; readonly key: string; readonly item: StoredItem | undefined};
type Lease = {readonly ttlMs: number; timer: NodeJS.Timeout};

/** The contents of a store at one moment. */
export type StoreCopy = {
	readonly revision: number;
	readonly nextLeaseId: number;
	readonly items: ReadonlyMap<string, StoredItem>;
	readonly events: readonly ChangeEvent[];
	/** Lifetimes of the leases, in milliseconds, by their ids. */
	readonly leases: ReadonlyMap<number, number>;
};

/** How the store answers calls. */
export const storeMode = {
	/** Answers as the users' store does. */
	up: 'up',
	/** Answers 503. */
	refusing: 'refusing',
	/** Never answers, and keeps connections open. */
	silent: 'silent',
	/** Closes the connection without an answer. */
	resetting: 'resetting',
	/** Sends the head of a 101 with `Upgrade`, which no call asked for, and keeps the connection open. */
	switching: 'switching',
} as const;

/** See {@link storeMode}. */
export type StoreMode = (typeof storeMode)[keyof typeof storeMode];

/** Stand-in for the store of the users' platform: keys, watches, transactions and leases over HTTP. */
export class FleetStore {
	mode: StoreMode = storeMode.up;
	/** Number of the next writes that take effect but whose connection is closed without an answer. */
	lostAnswers = 0;
	/** Called after each answer with the call's method and path, so that a test can change the store between two reads. */
	onAnswered: ((call: string) => void) | undefined;
	/** Calls received, each as method and path. */
	readonly calls: string[] = [];
	/** Text of the era in the answers, instead of the store's own era; an empty text leaves the header out. */
	eraText: string | undefined;
	#era = 1;
	#revision = 1;
	#historyLostBefore = 0;
	#nextLeaseId = 100;
	readonly #items = new Map<string, StoredItem>();
	readonly #events: ChangeEvent[] = [];
	readonly #leases = new Map<number, Lease>();
	readonly #watchers = new Set<() => void>();
	readonly #server: Server;

	constructor() {
		this.#server = createServer((request, response) => {
			void this.#serve(request, response);
		});
	}

	/** Address that the store listens at, `host:port`. */
	get address(): string {
		const {port} = this.#server.address() as AddressInfo;
		return `127.0.0.1:${port}`;
	}

	/** Starts to listen at a free port. */
	async start(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
	}

	/** Stops listening, closes every connection and cancels the leases' timers. */
	async stop(): Promise<void> {
		for (const {timer} of this.#leases.values()) {
			clearTimeout(timer);
		}

		await new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
			this.#server.closeAllConnections();
		});
	}

	/** Writes a value as an operator or an engine does; an object is written as JSON. The key is removed when its lease ends; 0 stands for no lease. */
	write(key: string, value: unknown, lease = 0): void {
		const text = typeof value === 'string' ? value : JSON.stringify(value);
		this.#revision++;
		const item = {
			key, value: Buffer.from(text).toString('base64'), revision: this.#revision, createdRevision: this.#items.get(key)?.createdRevision ?? this.#revision, lease,
		};
		this.#items.set(key, item);
		this.#publish({revision: this.#revision, key, item});
	}

	/** Removes a key and informs its watchers; does nothing when the key is absent. */
	remove(key: string): void {
		if (this.#items.delete(key)) {
			this.#revision++;
			this.#publish({revision: this.#revision, key, item: undefined});
		}
	}

	/** Lists the keys that begin with `prefix`. */
	listKeys(prefix: string): string[] {
		return [...this.#items.keys()].filter(key => key.startsWith(prefix));
	}

	/** Copies the contents, for a later `restore`. */
	exportCopy(): StoreCopy {
		return {
			revision: this.#revision,
			nextLeaseId: this.#nextLeaseId,
			items: new Map(this.#items),
			events: [...this.#events],
			leases: new Map([...this.#leases].map(([id, {ttlMs}]) => [id, ttlMs])),
		};
	}

	/** Goes back to an earlier copy, as a store that was away does: revisions and lease ids are given out again, and the era rises by one. Cuts waiting watches. */
	replaceContents(copy: StoreCopy): void {
		this.#era++;
		this.#revision = copy.revision;
		this.#nextLeaseId = copy.nextLeaseId;
		this.#items.clear();
		for (const [key, item] of copy.items) {
			this.#items.set(key, item);
		}

		this.#events.splice(0, this.#events.length, ...copy.events);
		for (const {timer} of this.#leases.values()) {
			clearTimeout(timer);
		}

		this.#leases.clear();
		for (const [id, ttlMs] of copy.leases) {
			this.#leases.set(id, {ttlMs, timer: this.#startExpiry(id, ttlMs)});
		}

		this.#watchers.clear();
		this.#server.closeAllConnections();
	}

	/** Drops the history of changes: a watch from an earlier revision gets 410. */
	forgetHistory(): void {
		this.#historyLostBefore = this.#revision + 1;
		this.#revision++;
		this.#events.length = 0;
		this.#notifyWatchers();
	}

	#publish(event: ChangeEvent): void {
		this.#events.push(event);
		this.#notifyWatchers();
	}

	#notifyWatchers(): void {
		for (const onChange of this.#watchers) {
			onChange();
		}
	}

	async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const url = new URL(request.url ?? '/', 'http://store');
		this.calls.push(`${request.method} ${url.pathname}`);
		if (this.mode === storeMode.silent) {
			return;
		}

		if (this.mode === storeMode.switching) {
			response.socket?.write('HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n');
			return;
		}

		if (this.mode === storeMode.resetting) {
			request.socket.destroy();
			return;
		}

		if (this.mode === storeMode.refusing) {
			sendJson(response, 503, {error: 'down'});
			return;
		}

		const body = request.method === 'POST' ? await readJson(request) as Record<string, never> : {};
		const era = this.eraText ?? String(this.#era);
		if (era !== '') {
			response.setHeader('Store-Era', era);
		}

		this.#sendAnswer(request.method ?? 'GET', url, body, response);
		this.onAnswered?.(`${request.method} ${url.pathname}`);
	}

	#sendAnswer(method: string, url: URL, body: Record<string, never>, response: ServerResponse): void {
		const [, call = '', id = ''] = url.pathname.split('/');
		if (method === 'GET' && call === 'kv-key') {
			const item = this.#items.get(url.searchParams.get('key') ?? '');
			sendJson(response, item ? 200 : 404, item ? {...encodeItem(item), as_of: this.#revision} : {error: 'none'});
		} else if (method === 'GET' && call === 'kv-range') {
			this.#sendRange(url, response);
		} else if (method === 'GET' && call === 'kv-watch') {
			this.#sendWatch(url, response);
		} else {
			switch (call) {
				case 'kv-lease': {
					const ttlMs = Number(body.ttl_ms);
					const lease = this.#nextLeaseId++;
					this.#leases.set(lease, {ttlMs, timer: this.#startExpiry(lease, ttlMs)});
					this.#sendWritten(response, {lease, ttl_ms: ttlMs});

					break;
				}

				case 'kv-keep': {
					this.#renewLease(Number(id), response);

					break;
				}

				case 'kv-lease-end': {
					this.#removeLease(Number(id));
					sendJson(response, 200, {});

					break;
				}

				case 'kv-txn': {
					const expected = body.expected as unknown as Array<{key: string; revision: number}>;
					const writes = body.writes as unknown as Array<{lease: number}>;
					if (expected.some(({key, revision}) => (this.#items.get(key)?.revision ?? 0) !== revision)) {
						sendJson(response, 412, {items: []});
						return;
					}

					if (writes.some(({lease}) => lease !== 0 && !this.#leases.has(lease))) {
						sendJson(response, 404, {error: 'no such lease'});
						return;
					}

					for (const key of body.remove as unknown as string[]) {
						this.remove(key);
					}

					for (const {key, value, lease} of body.writes as unknown as Array<{key: string; value: string; lease: number}>) {
						this.write(key, Buffer.from(value, 'base64').toString(), lease);
					}

					this.#sendWritten(response, {revision: this.#revision});

					break;
				}

				default: {
					sendJson(response, 404, {error: 'no such call'});
				}
			}
		}
	}

	#sendWritten(response: ServerResponse, body: unknown): void {
		if (this.lostAnswers > 0) {
			this.lostAnswers--;
			response.socket?.destroy();
		} else {
			sendJson(response, 200, body);
		}
	}

	#renewLease(id: number, response: ServerResponse): void {
		const lease = this.#leases.get(id);
		if (lease) {
			clearTimeout(lease.timer);
			lease.timer = this.#startExpiry(id, lease.ttlMs);
		}

		sendJson(response, lease ? 200 : 404, {ttl_ms: lease?.ttlMs ?? 0});
	}

	#startExpiry(id: number, ttlMs: number): NodeJS.Timeout {
		return setTimeout(() => {
			this.#removeLease(id);
		}, ttlMs);
	}

	#removeLease(id: number): void {
		clearTimeout(this.#leases.get(id)?.timer);
		this.#leases.delete(id);
		for (const item of this.#items.values()) {
			if (item.lease === id) {
				this.remove(item.key);
			}
		}
	}

	#sendRange(url: URL, response: ServerResponse): void {
		const prefix = url.searchParams.get('path_prefix') ?? '';
		const after = url.searchParams.get('after') ?? '';
		const pageSize = 3;
		const keys = this.listKeys(prefix).filter(key => key > after).sort();
		sendJson(response, 200, {
			items: keys.slice(0, pageSize).map(key => encodeItem(this.#items.get(key)!)), has_more: keys.length > pageSize, as_of: this.#revision,
		});
	}

	#sendWatch(url: URL, response: ServerResponse): void {
		const prefix = url.searchParams.get('path_prefix') ?? '';
		const after = Number(url.searchParams.get('after'));
		const watch: {timer?: NodeJS.Timeout} = {};
		const isLost = () => after < this.#historyLostBefore - 1 || after > this.#revision;
		const send = () => {
			clearTimeout(watch.timer);
			this.#watchers.delete(onChange);
			const events = this.#events.filter(event => event.revision > after && event.key.startsWith(prefix));
			sendJson(response, isLost() ? 410 : 200, {events: events.map(event => encodeEvent(event)), as_of: this.#revision});
		};

		const isReady = () => isLost() || this.#events.some(event => event.revision > after && event.key.startsWith(prefix));
		const onChange = () => {
			if (isReady()) {
				send();
			}
		};

		if (isReady()) {
			send();
			return;
		}

		this.#watchers.add(onChange);
		watch.timer = setTimeout(send, Number(url.searchParams.get('wait_ms')));
	}
}

function encodeItem(item: StoredItem): Record<string, unknown> {
	return {
		key: item.key, value: item.value, revision: item.revision, created_rev: item.createdRevision, lease: item.lease,
	};
}

function encodeEvent({key, revision, item}: ChangeEvent): Record<string, unknown> {
	return item ? encodeItem(item) : {key, revision, deleted: true};
}

import type {EngineLoad} from '../dispatch/index.js';
import type {MessageHandlers, MessageLink, MessageNetwork} from '../peers/index.js';
import type {Timer, TimerService} from '../timers/index.js';
import {
	isLoadMessage, maxReports, parseLoadItems, toLoadItems,
} from './messages.js';

/** Interval in which reports are collected before they are passed on, in milliseconds: a report takes twice half of it on its way, where slowdowns last 600 ms. */
const collectMs = 50;
/** Time for which the hub is not contacted again after its connection has closed or fallen silent, in milliseconds: it may be of a version that knows no load messages. */
const backoffMs = 5000;
/** Time without a message from the hub, since the first report that it did not answer, after which its connection counts as lost, in milliseconds. */
const maxSilenceMs = 1000;
/** Age from which reports are of no use, in milliseconds: machines keep a slowdown for 600 ms. */
const maxReportAgeMs = 1000;

export type LoadExchangeDependencies = {
	readonly timers: TimerService;
	readonly network: MessageNetwork;
	/** Returns the address of the entry that collects the reports of this one's failure domain, which may be this one's; `undefined` where none does. */
	readonly getHub: () => string | undefined;
	readonly localAddress: string;
	/** Called with each report of another entry; `at` is the monotonic time at which it was made, in milliseconds. */
	readonly onReport: (engineId: string, load: EngineLoad, at: number) => void;
};

type PendingReport = {readonly load: EngineLoad; readonly at: number; readonly source: MessageLink | undefined};

/** The connection to the hub, and the monotonic time of the first report that it has not answered, in milliseconds. */
type HubConnection = {readonly address: string; readonly link: MessageLink; unansweredSince: number | undefined};

/**
Passes load reports of application engines on between the entries of a failure domain, where bytes have no price. Each entry sends the reports
that it got to one of them, the hub, which passes the latest one of each engine on to all others that send. Entries that
get two calls a second each know the slowdown of a machine in time only by the reports of others. Nothing depends on it: without a hub each
entry has its own reports.
*/
export class LoadExchange {
	readonly #dependencies: LoadExchangeDependencies;
	/** Latest report of each engine that is not passed on yet, by engine. */
	readonly #pending = new Map<string, PendingReport>();
	readonly #members = new Set<MessageLink>();
	#hub: HubConnection | undefined;
	#backoffUntil = Number.NEGATIVE_INFINITY;
	#timer: Timer | undefined;

	constructor(dependencies: LoadExchangeDependencies) {
		this.#dependencies = dependencies;
	}

	/** Passes on a report that this entry has just got from an engine. */
	publish(engineId: string, load: EngineLoad): void {
		this.#collect(engineId, {load, at: this.#dependencies.timers.getNow(), source: undefined});
	}

	/** Serves another entry's connection, which becomes a member with its first load message. */
	serve(link: MessageLink): MessageHandlers {
		return {
			onMessage: items => {
				this.#members.add(link);
				this.#handleReports(items, link);
			},
			onClose: () => {
				this.#members.delete(link);
			},
		};
	}

	/** Closes the connection to the hub and passes nothing more on. */
	stop(): void {
		this.#timer?.cancel();
		this.#closeHub();
		this.#backoffUntil = Number.POSITIVE_INFINITY;
	}

	#handleReports(items: unknown, source: MessageLink): void {
		const now = this.#dependencies.timers.getNow();
		for (const {engineId, load, ageMs} of parseLoadItems(items)) {
			const at = now - ageMs;
			if (ageMs <= maxReportAgeMs) {
				this.#dependencies.onReport(engineId, load, at);
				if (this.#members.has(source)) {
					this.#collect(engineId, {load, at, source});
				}
			}
		}
	}

	#collect(engineId: string, report: PendingReport): void {
		const known = this.#pending.get(engineId);
		if (known ? known.at > report.at : this.#pending.size >= maxReports) {
			return;
		}

		this.#pending.set(engineId, report);
		this.#timer ??= this.#dependencies.timers.startTimer(collectMs, () => {
			this.#timer = undefined;
			this.#sendPending();
		});
	}

	#sendPending(): void {
		const {getHub, localAddress} = this.#dependencies;
		const reports = [...this.#pending];
		this.#pending.clear();
		const address = getHub();
		if (address === localAddress) {
			this.#closeHub();
			for (const member of this.#members) {
				// A member gets a message also when all reports are its own: it shows that the hub answers.
				this.#send(member, reports.filter(([, {source}]) => source !== member));
			}

			return;
		}

		const own = reports.filter(([, {source}]) => source === undefined);
		const hub = address === undefined ? undefined : this.#findHub(address);
		if (hub && own.length > 0) {
			hub.unansweredSince ??= this.#dependencies.timers.getNow();
			this.#send(hub.link, own);
		}
	}

	#send(link: MessageLink, reports: ReadonlyArray<readonly [string, PendingReport]>): void {
		const now = this.#dependencies.timers.getNow();
		link.send(toLoadItems(reports.map(([engineId, {load, at}]) => ({engineId, load, ageMs: now - at}))));
	}

	/** Returns the connection to the hub, which it opens if needed; `undefined` while the hub is not contacted. */
	#findHub(address: string): HubConnection | undefined {
		const {timers, network} = this.#dependencies;
		const now = timers.getNow();
		if (this.#hub && this.#hub.address !== address) {
			this.#closeHub();
		}

		if (this.#hub?.unansweredSince !== undefined && now - this.#hub.unansweredSince > maxSilenceMs) {
			this.#closeHub();
			this.#backoffUntil = now + backoffMs;
		}

		if (this.#hub !== undefined || now < this.#backoffUntil) {
			return this.#hub;
		}

		const link = network.open(address, {
			onMessage: items => {
				// The other end's slot allocator tells each connection what it knows.
				if (this.#hub?.link === link && isLoadMessage(items)) {
					this.#hub.unansweredSince = undefined;
					this.#handleReports(items, link);
				}
			},
			onClose: () => {
				if (this.#hub?.link === link) {
					this.#hub = undefined;
					this.#backoffUntil = Math.max(this.#backoffUntil, timers.getNow() + backoffMs);
				}
			},
		});
		this.#hub = {address, link, unansweredSince: undefined};
		return this.#hub;
	}

	#closeHub(): void {
		const hub = this.#hub;
		this.#hub = undefined;
		hub?.link.close();
	}
}

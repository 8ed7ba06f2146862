import {EngineView} from './engine.js';
import type {AddressPause, EngineRecord} from './engine.js';

/** Number of removed engines whose last registrations are kept: more than the engines that leave within the age of any copy of the store. */
const maxRemoved = 1000;

/** The registered engines that this process knows, by service. Engines that are leaving get no requests. */
export class Fleet {
	readonly #views = new Map<string, EngineView>();
	readonly #viewsByService = new Map<string, EngineView[]>();
	/** Removed engines by id, the earliest removed first: the same incarnation may register again. */
	readonly #removed = new Map<string, EngineView>();
	readonly #listeners = new Set<(view: EngineView) => void>();

	/** Calls `listener` with each engine that is removed, also as a later incarnation takes its place. Returns a function that ends this. */
	subscribe(listener: (view: EngineView) => void): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	/**
	Adds or updates an engine; a new incarnation under the same id starts with a new view. A registration that is older than
	one seen before, of the same incarnation or of an earlier one, is ignored: a store that came back from a copy, or a late write, may list an
	engine as serving that has begun to leave, or has left. Returns whether anything changed.
	*/
	onRegistration(record: EngineRecord): boolean {
		const known = this.#views.get(record.id);
		const removed = this.#removed.get(record.id);
		const isOutdated = known ? isEarlierWrite(record, known.record) : removed !== undefined && !isLaterWrite(record, removed.record);
		if (isOutdated || this.isEarlierIncarnation(record)) {
			return false;
		}

		this.#removed.delete(record.id);
		if (known && isSameIncarnation(known.record, record)) {
			const isChanged = hasChanged(known.record, record);
			known.record = record;
			known.missingSince = undefined;
			return isChanged;
		}

		if (known) {
			this.remove(record.id);
		}

		// What an incarnation has said of itself holds although its registration was missing for a while.
		const view = removed && isSameIncarnation(removed.record, record) ? removed : new EngineView(record, this.#findPause(record), this.#findLatest(record, record.service)?.firstId);
		view.record = record;
		view.missingSince = undefined;
		this.#views.set(record.id, view);
		const views = this.#viewsByService.get(record.service) ?? [];
		views.push(view);
		this.#viewsByService.set(record.service, views);
		return true;
	}

	/** Tells whether a registration was written by an incarnation that started before the latest one known under its id. */
	isEarlierIncarnation({id, startedAt, isStartAhead}: EngineRecord): boolean {
		const latest = (this.#views.get(id) ?? this.#removed.get(id))?.record;
		const isOrdered = startedAt !== undefined && latest?.startedAt !== undefined && !isStartAhead && !latest.isStartAhead;
		return isOrdered && startedAt < latest.startedAt;
	}

	/** Records that the registration of an engine has been missing since `now`; holds until it registers again. */
	markMissing(id: string, now: number): void {
		const view = this.#views.get(id);
		if (view) {
			view.missingSince ??= now;
		}
	}

	/** Removes an engine that is gone. Returns whether it was known. */
	remove(id: string): boolean {
		const known = this.#views.get(id);
		if (!known) {
			return false;
		}

		this.#views.delete(id);
		this.#removed.set(id, known);
		const [oldestId] = this.#removed.keys();
		if (this.#removed.size > maxRemoved && oldestId !== undefined) {
			this.#removed.delete(oldestId);
		}

		const remaining = (this.#viewsByService.get(known.record.service) ?? []).filter(view => view !== known);
		this.#viewsByService.set(known.record.service, remaining);
		for (const listener of this.#listeners) {
			listener(known);
		}

		return true;
	}

	/** Records at `now` that this process may not have reached any engine for a time: each that is suspect gets a trial request at once. */
	resumeAll(now: number): void {
		for (const view of this.#views.values()) {
			if (view.health.isSuspect) {
				view.health.onResume(now);
			}
		}
	}

	/** Lists the ids of all known engines. */
	listIds(): string[] {
		return [...this.#views.keys()];
	}

	/** Lists the engines of a service that are not leaving. */
	listServing(service: string): EngineView[] {
		return (this.#viewsByService.get(service) ?? []).filter(view => !view.isLeaving);
	}

	/** Lists the engines of a service, also those that are leaving. */
	listRegistered(service: string): readonly EngineView[] {
		return this.#viewsByService.get(service) ?? [];
	}

	/** Lists the ids of the engines of a service that may get no request of this process at `now`. */
	listUnavailable(service: string, now: number): string[] {
		return (this.#viewsByService.get(service) ?? []).filter(view => !view.isAvailable(now)).map(view => view.record.id);
	}

	/** Finds an engine by its id; `undefined` when it is unknown or leaving. */
	findServing(id: string): EngineView | undefined {
		const view = this.#views.get(id);
		return view && !view.isLeaving ? view : undefined;
	}

	/** Finds an engine by its id; `undefined` when it is unknown or leaving, or wants no request of this process at `now`. */
	findAccepting(id: string, now: number): EngineView | undefined {
		const view = this.findServing(id);
		return view?.computePauseMs(now) === 0 ? view : undefined;
	}

	/** Finds the id of the first incarnation that is known to have served the service of an engine at its address; that of the engine itself when it is not known. */
	findFirstId(id: string): string {
		return (this.#views.get(id) ?? this.#removed.get(id))?.firstId ?? id;
	}

	/** Finds the engine that was registered last at an address, for one service unless any will do. */
	#findLatest({address}: EngineRecord, service?: string): EngineView | undefined {
		return [...this.#removed.values(), ...this.#views.values()].findLast(({record}) => record.address === address && (service === undefined || record.service === service));
	}

	/** Finds the pause of the engines that were registered at the address of a new incarnation; one that started later has asked for none. */
	#findPause(record: EngineRecord): AddressPause | undefined {
		const {startedAt} = record;
		const known = this.#findLatest(record);
		if (known && startedAt !== undefined && known.record.startedAt !== undefined && startedAt > known.record.startedAt) {
			known.pause.endsAt = Number.NEGATIVE_INFINITY;
		}

		return known?.pause;
	}
}

/** Tells whether `record` is known to have been written before `latest`, by the same incarnation. */
function isEarlierWrite(record: EngineRecord, latest: EngineRecord): boolean {
	return isSameIncarnation(latest, record) && record.sequence !== undefined && latest.sequence !== undefined && record.sequence < latest.sequence;
}

/** Tells whether `record` may have been written after `latest`: by another incarnation, or later by the same one. */
function isLaterWrite(record: EngineRecord, latest: EngineRecord): boolean {
	return !isSameIncarnation(latest, record) || record.sequence === undefined || latest.sequence === undefined || record.sequence > latest.sequence;
}

function isSameIncarnation(known: EngineRecord, record: EngineRecord): boolean {
	return known.service === record.service && known.address === record.address && known.startedAt === record.startedAt;
}

function hasChanged(known: EngineRecord, record: EngineRecord): boolean {
	return known.stage !== record.stage || known.isLeaving !== record.isLeaving || known.slots !== record.slots
		|| known.domain !== record.domain || known.isSpot !== record.isSpot || (known.leavesMs === undefined) !== (record.leavesMs === undefined);
}

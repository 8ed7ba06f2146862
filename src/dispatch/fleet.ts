import {EngineView} from './engine.js';
import type {EngineRecord} from './engine.js';

/** The registered engines that this process knows, by service. Engines that are leaving get no requests. */
export class Fleet {
	readonly #views = new Map<string, EngineView>();
	readonly #viewsByService = new Map<string, EngineView[]>();

	/** Adds or updates an engine; a new incarnation under the same id starts with a new view. Returns whether anything changed. */
	onRegistration(record: EngineRecord): boolean {
		const known = this.#views.get(record.id);
		if (known && isSameIncarnation(known.record, record)) {
			const isChanged = hasChanged(known.record, record);
			known.record = record;
			return isChanged;
		}

		if (known) {
			this.remove(record.id);
		}

		const view = new EngineView(record);
		this.#views.set(record.id, view);
		const views = this.#viewsByService.get(record.service) ?? [];
		views.push(view);
		this.#viewsByService.set(record.service, views);
		return true;
	}

	/** Removes an engine that is gone. Returns whether it was known. */
	remove(id: string): boolean {
		const known = this.#views.get(id);
		if (!known) {
			return false;
		}

		this.#views.delete(id);
		const remaining = (this.#viewsByService.get(known.record.service) ?? []).filter(view => view !== known);
		this.#viewsByService.set(known.record.service, remaining);
		return true;
	}

	/** Lists the ids of all known engines. */
	listIds(): string[] {
		return [...this.#views.keys()];
	}

	/** Lists the engines of a service that are not leaving. */
	listServing(service: string): EngineView[] {
		return (this.#viewsByService.get(service) ?? []).filter(view => !view.record.isLeaving);
	}

	/** Finds an engine by its id; `undefined` when it is unknown or leaving. */
	findServing(id: string): EngineView | undefined {
		const view = this.#views.get(id);
		return view && !view.record.isLeaving ? view : undefined;
	}
}

function isSameIncarnation(known: EngineRecord, record: EngineRecord): boolean {
	return known.service === record.service && known.address === record.address && known.startedAt === record.startedAt;
}

function hasChanged(known: EngineRecord, record: EngineRecord): boolean {
	return known.stage !== record.stage || known.isLeaving !== record.isLeaving || known.slots !== record.slots;
}

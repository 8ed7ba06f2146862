import {EngineView} from './engine.js';
import type {EngineRecord} from './engine.js';

/** The engines that this process knows, by service. Only registered engines that are not leaving get work. */
export class Fleet {
	readonly #engines = new Map<string, EngineView>();
	readonly #byService = new Map<string, EngineView[]>();

	/** Takes in a registration; a new lifetime under the same id starts with a clean picture. Returns whether it changed anything. */
	onRecord(record: EngineRecord): boolean {
		const known = this.#engines.get(record.id);
		if (known && isSameLifetime(known.record, record)) {
			const isChanged = hasChanged(known.record, record);
			known.record = record;
			return isChanged;
		}

		if (known) {
			this.onGone(record.id);
		}

		const view = new EngineView(record);
		this.#engines.set(record.id, view);
		const views = this.#byService.get(record.service) ?? [];
		views.push(view);
		this.#byService.set(record.service, views);
		return true;
	}

	/** Forgets an engine that is gone. Returns whether it was known. */
	onGone(id: string): boolean {
		const known = this.#engines.get(id);
		if (!known) {
			return false;
		}

		this.#engines.delete(id);
		const rest = (this.#byService.get(known.record.service) ?? []).filter(view => view !== known);
		this.#byService.set(known.record.service, rest);
		return true;
	}

	/** Lists the ids of all known engines. */
	listIds(): string[] {
		return [...this.#engines.keys()];
	}

	/** Lists the engines of a service that are not leaving. */
	listServing(service: string): EngineView[] {
		return (this.#byService.get(service) ?? []).filter(view => !view.record.isLeaving);
	}

	/** Finds an engine that may be sent work: known and not leaving. */
	findServing(id: string): EngineView | undefined {
		const view = this.#engines.get(id);
		return view && !view.record.isLeaving ? view : undefined;
	}
}

function isSameLifetime(known: EngineRecord, record: EngineRecord): boolean {
	return known.service === record.service && known.address === record.address && known.startedAt === record.startedAt;
}

function hasChanged(known: EngineRecord, record: EngineRecord): boolean {
	return known.stage !== record.stage || known.isLeaving !== record.isLeaving || known.slots !== record.slots;
}

import type {GenerateEvent, GenerateRequest} from '../../../src/upstreams/index.js';
import {ManualTimers} from '../../../src/timers/index.js';
import {defaultEngineOptions, EngineCore} from '../index.js';
import type {EngineEvent, EngineOptions, EngineRow} from '../index.js';
import type {EventSink} from '../sequence.js';

/** Creates an engine whose time the test advances. */
export function createEngine(options: Partial<EngineOptions> = {}): {readonly timers: ManualTimers; readonly core: EngineCore} {
	const timers = new ManualTimers();
	return {timers, core: new EngineCore(timers, {...defaultEngineOptions, ...options})};
}

/** Creates a request of `promptTokens` (100 by default); its prompt begins with its id unless `overrides` gives another. */
export function createRequest(id: string, overrides: Partial<GenerateRequest> = {}): GenerateRequest {
	const promptTokens = overrides.promptTokens ?? 100;
	return {
		id, model: 'contracts', version: '1', prompt: `${id} `.padEnd(promptTokens * 4, 'x'), promptTokens, maxTokens: 20, offset: 0, priority: 0, ...overrides,
	};
}

/** Collects the events that a connection receives. */
export class CollectingSink implements EventSink {
	readonly events: GenerateEvent[] = [];
	/** Why the answer was cut, if it was. */
	cutReason: string | undefined;

	/** Text received so far. */
	get text(): string {
		return this.events.map(event => event.kind === 'token' ? event.text : '').join('');
	}

	/** Whether the end event was received. */
	get isComplete(): boolean {
		return this.events.at(-1)?.kind === 'end';
	}

	onEvent(event: GenerateEvent): void {
		this.events.push(event);
	}

	onCut(reason: string): void {
		this.cutReason = reason;
	}
}

/** Lists the journal's rows with one of `events`. */
export function listRows(core: EngineCore, ...events: EngineEvent[]): EngineRow[] {
	return core.journal.list().filter(row => events.includes(row.event));
}

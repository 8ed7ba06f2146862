import type {EngineLoad} from '../dispatch/index.js';
import {BadFrameError} from '../errors/index.js';

/** Number of the message on the wire, where it is the first item; it differs from those of slot allocators, change feeds and duties, which use the same port. */
const loadMessageKind = 60;
/** Maximum number of engines in a message. */
export const maxReports = 64;
const percent = 100;

/** A load report of an engine, and its age when it was sent on, in milliseconds. */
export type AgedReport = {readonly engineId: string; readonly load: EngineLoad; readonly ageMs: number};

/** Tells whether received items are a message with load reports. */
export function isLoadMessage(items: unknown): boolean {
	return Array.isArray(items) && items[0] === loadMessageKind;
}

/** Converts reports into the list of items that is sent. */
export function toLoadItems(reports: readonly AgedReport[]): unknown[] {
	return [loadMessageKind, ...reports.map(({engineId, load: {running, waiting, slowdown = 1}, ageMs}) => [engineId, running, waiting, Math.round(slowdown * percent), Math.round(ageMs)])];
}

/** Parses a received list of items. Throws `BadFrameError` when it is not a message with load reports. */
export function parseLoadItems(items: unknown): AgedReport[] {
	if (!Array.isArray(items) || items.length > maxReports + 1) {
		throw new BadFrameError('load message is not a list, or too long');
	}

	return items.slice(1).map((row: unknown): AgedReport => {
		const [engineId, ...figures] = Array.isArray(row) ? row as unknown[] : [];
		const [running, waiting, slowdownPercent, ageMs] = figures.map(figure => typeof figure === 'number' && figure >= 0 && Number.isFinite(figure) ? figure : undefined);
		if (typeof engineId !== 'string' || running === undefined || waiting === undefined || !slowdownPercent || ageMs === undefined) {
			throw new BadFrameError('load message has a malformed report');
		}

		return {engineId, load: {running, waiting, slowdown: slowdownPercent / percent}, ageMs};
	});
}

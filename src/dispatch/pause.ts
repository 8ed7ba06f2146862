import type {EngineView} from './engine.js';

/**
Computes how long every engine that could take a request holds requests of this process back, in milliseconds; 0 when one of them
takes requests, or when there is none. Answers the load at which a whole service sheds requests: callers are refused at once
instead of waiting for engines that want nothing from this process.
*/
export function computeSharedPauseMs(views: readonly EngineView[], now: number): number {
	return views.length === 0 ? 0 : Math.min(...views.map(view => view.computePauseMs(now)));
}

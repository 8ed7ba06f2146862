import type {EngineView} from './engine.js';

/**
Tells whether every engine that could take a request holds requests of this process back until `deadlineAt` or longer; times are
monotonic, in milliseconds. Answers the load at which a whole service sheds requests: callers are refused at once instead of waiting
for engines that want nothing from this process.
*/
export function isPausedUntil(deadlineAt: number, views: readonly EngineView[], now: number): boolean {
	const pauseMs = views.length === 0 ? 0 : Math.min(...views.map(view => view.computePauseMs(now)));
	return pauseMs > 0 && now + pauseMs >= deadlineAt;
}

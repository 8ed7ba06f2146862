import {expect} from 'chai';
import {
	chooseGenerationPlacement, EngineUsage, EngineView, engineStage, PrefixCacheIndex, ServicePace,
} from '../index.js';
import type {EngineUsage as Usage, GenerationNeeds, PlacementContext} from '../index.js';

/** A short prompt with a long answer. */
const needs: GenerationNeeds = {
	prefixBlocks: [], uniqueTokens: 220, outputTokens: 14_000, kvCapacityTokens: 0, kvTransferMsPerToken: 0,
};
const targetGapMs = 150;
const usualSlowdown = 1;
const largestSlowdown = 2.5;

function createEngines(): {readonly views: readonly EngineView[]; readonly context: PlacementContext; readonly usages: ReadonlyMap<EngineView, Usage>} {
	const servicePace = new ServicePace();
	const views = ['slow', 'fast'].map(id => new EngineView({
		id, address: '127.0.0.1:1', service: 'model', stage: engineStage.any, slots: 8, isLeaving: false, startedAt: undefined,
	}));
	const usages = new Map(views.map(view => [view, new EngineUsage(false, undefined, servicePace)]));
	const context: PlacementContext = {
		now: 0, slotShare: 1, hasShortWaiting: false, prefixCaches: new PrefixCacheIndex(), getUsage: view => usages.get(view)!,
	};
	return {views, context, usages};
}

describe('the pace of engines', () => {
	it('keeps long streams off an engine whose pauses are too long while its machine is slow, although it has the least load', () => {
		const {views: [slow, fast], views, context, usages} = createEngines();
		usages.get(slow!)!.pace.add({intervalMs: 84, slowdown: usualSlowdown, targetGapMs}, 0);
		usages.get(fast!)!.pace.add({intervalMs: 39, slowdown: largestSlowdown, targetGapMs}, 0);
		usages.get(fast!)!.startDecode(needs, false);
		expect(chooseGenerationPlacement(views, needs, context)?.decodeEngine).to.equal(fast);
	});

	it('leaves the choice to the load while nothing is known to be too slow', () => {
		const {views: [slow, fast], views, context, usages} = createEngines();
		usages.get(slow!)!.pace.add({intervalMs: 84, slowdown: usualSlowdown, targetGapMs}, 0);
		usages.get(fast!)!.startDecode(needs, false);
		expect(chooseGenerationPlacement(views, needs, context)?.decodeEngine).to.equal(slow);
	});

	it('uses an engine that is too slow rather than none', () => {
		const {views: [slow, fast], context, usages} = createEngines();
		usages.get(fast!)!.pace.add({intervalMs: 39, slowdown: largestSlowdown, targetGapMs}, 0);
		usages.get(slow!)!.pace.add({intervalMs: 84, slowdown: usualSlowdown, targetGapMs}, 0);
		expect(chooseGenerationPlacement([slow!], needs, context)?.decodeEngine).to.equal(slow);
	});

	it('tries an engine of which nothing is known', () => {
		const {views: [slow, fast], views, context, usages} = createEngines();
		usages.get(fast!)!.pace.add({intervalMs: 120, slowdown: largestSlowdown, targetGapMs}, 0);
		expect(chooseGenerationPlacement(views, needs, context)?.decodeEngine).to.equal(slow);
	});
});

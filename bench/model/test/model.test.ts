import {expect} from 'chai';
import {ModelRun} from '../run.js';
import type {ModelResult} from '../run.js';
import type {ModelEngineKind, ModelKind, ModelSite} from '../site.js';

const minute = 60;

function createKind(name: string, requestsPerSecond: number, changes: Partial<ModelKind>): ModelKind {
	return {
		name,
		requestsPerSecond,
		targetMs: 800,
		deadlineMs: 8000,
		gapMs: 250,
		worth: 1,
		lateWorth: 0.3,
		uniqueTokens: {mean: 2000, spread: 1, max: 20_000},
		sharedBlocks: [{tokens: {mean: 6000, spread: 0.5, max: 20_000}, count: 60}],
		outputTokens: {mean: 100, spread: 1, max: 400},
		...changes,
	};
}

const fastEngines: ModelEngineKind = {
	count: 6,
	prefillShare: 0.35,
	slots: 6,
	kvTokens: 1_400_000,
	kvTransferMsPerToken: 0.000_03,
	prefillTokensPerMs: 749,
	pairsMs: 0.04,
	firstTokenMs: 0,
	stepMs: 0.55,
	stepMsPerRequest: 0.02,
	pieceTokens: 1024,
};
const slowEngines: ModelEngineKind = {
	count: 13,
	prefillShare: 0.35,
	slots: 64,
	kvTokens: 486_000,
	kvTransferMsPerToken: 0.0004,
	prefillTokensPerMs: 62.4,
	pairsMs: 0.525,
	firstTokenMs: 120,
	stepMs: 6.55,
	stepMsPerRequest: 0.165,
	pieceTokens: 1024,
};
/** Engines of a kind that no deployment has so far: few tokens at once, a long fixed time to the first token, little memory. */
const otherEngines: ModelEngineKind = {
	count: 20,
	prefillShare: 0.5,
	slots: 24,
	kvTokens: 220_000,
	kvTransferMsPerToken: 0.002,
	prefillTokensPerMs: 20,
	pairsMs: 0.2,
	firstTokenMs: 300,
	stepMs: 12,
	stepMsPerRequest: 0.3,
	pieceTokens: 512,
};

const fastSite: ModelSite = {
	name: 'fast engines',
	engines: fastEngines,
	kinds: [
		createKind('check', 200, {
			targetMs: 120, deadlineMs: 2000, gapMs: 150, outputTokens: {mean: 10, spread: 1, max: 40}, sharedBlocks: [{tokens: {mean: 6300, spread: 0.4, max: 11_000}, count: 400}],
		}),
		createKind('draft', 2, {
			targetMs: 200, deadlineMs: 15_000, uniqueTokens: {mean: 140, spread: 1, max: 500}, sharedBlocks: [{tokens: {mean: 80, spread: 0.5, max: 200}, count: 6}], outputTokens: {mean: 450, spread: 0.5, max: 1800},
		}),
	],
};
const slowSite: ModelSite = {
	name: 'slow engines',
	engines: slowEngines,
	kinds: [
		createKind('summary', 18, {uniqueTokens: {mean: 3720, spread: 1.1, max: 53_200}, sharedBlocks: [{tokens: {mean: 13_300, spread: 0.7, max: 39_900}, count: 85}]}),
		createKind('caption', 18, {targetMs: 500, uniqueTokens: {mean: 1110, spread: 1, max: 3790}, sharedBlocks: [{tokens: {mean: 350, spread: 0.5, max: 900}, count: 120}]}),
	],
};
const otherSite: ModelSite = {
	name: 'engines not seen before',
	engines: otherEngines,
	kinds: [createKind('answer', 30, {
		targetMs: 1500, deadlineMs: 12_000, uniqueTokens: {mean: 1500, spread: 0.8, max: 12_000}, sharedBlocks: [{tokens: {mean: 4000, spread: 0.5, max: 12_000}, count: 80}],
	})],
};

function countAll(result: ModelResult, field: 'asked' | 'onTime' | 'gone' | 'refused'): number {
	return [...result.kinds.values()].reduce((sum, kind) => sum + kind[field], 0);
}

describe('generations on modelled engines', () => {
	for (const site of [fastSite, slowSite, otherSite]) {
		describe(site.name, () => {
			it('are answered on time, nine in ten, at a load that the engines can take', async () => {
				const result = await new ModelRun(site, {seed: 1, seconds: minute, load: 0.7}).run();
				expect(countAll(result, 'onTime') / countAll(result, 'asked')).to.be.above(0.9);
			});

			it('are hardly ever sent to an engine without memory for them, and prompts are hardly read twice', async () => {
				const result = await new ModelRun(site, {seed: 2, seconds: minute, load: 1}).run();
				expect(result.rejectedShare).to.be.below(0.01);
				expect(result.repeatedTokens / result.prefilledTokens).to.be.below(0.2);
			});

			it('are refused at once rather than kept until their callers leave, at four times that load', async () => {
				const result = await new ModelRun(site, {seed: 3, seconds: minute, load: 4}).run();
				expect(countAll(result, 'gone') / countAll(result, 'asked')).to.be.below(0.02);
				expect(countAll(result, 'refused')).to.be.above(0);
			});
		});
	}

	it('are served nearly as well while the allocator changes, as a new one asks the engines what they hold', async () => {
		const options = {seed: 4, seconds: 40, load: 0.8};
		const takeovers = [10, 15, 20, 25, 30];
		const undisturbed = await new ModelRun(slowSite, options).run();
		const asking = await new ModelRun(slowSite, {...options, takeovers}).run();
		const forgetful = await new ModelRun(slowSite, {...options, takeovers, isAskingEngines: false}).run();
		expect(asking.worth).to.be.above(undisturbed.worth * 0.9);
		expect(asking.repeatedTokens).to.be.below(forgetful.repeatedTokens / 2);
	});

	it('of small memory are not sent beyond what the engines hold', async () => {
		const site: ModelSite = {...slowSite, engines: {...slowEngines, kvTokens: 200_000}};
		const result = await new ModelRun(site, {seed: 5, seconds: minute, load: 0.6}).run();
		expect(result.rejectedShare).to.be.below(0.01);
	});
});

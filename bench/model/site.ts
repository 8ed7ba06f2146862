import {readFileSync} from 'node:fs';
import {parse} from 'smol-toml';

/** Numbers with a mean, a relative spread (the standard deviation of their logarithms) and a maximum. */
export type Distribution = {readonly mean: number; readonly spread: number; readonly max: number};

/** Blocks that prompts of a kind share: each prompt uses one of `count` blocks. */
export type SharedBlock = {readonly tokens: Distribution; readonly count: number};

/** A kind of generation that callers ask for. */
export type ModelKind = {
	readonly name: string;
	readonly requestsPerSecond: number;
	/** Time to the first token within which an answer is on time, in milliseconds. */
	readonly targetMs: number;
	readonly deadlineMs: number;
	readonly gapMs: number;
	readonly worth: number;
	readonly lateWorth: number;
	readonly uniqueTokens: Distribution;
	/** Shared blocks in the order of the prompt. */
	readonly sharedBlocks: readonly SharedBlock[];
	readonly outputTokens: Distribution;
};

/** Engines of a model service, all alike. */
export type ModelEngineKind = {
	readonly count: number;
	/** Share of the engines that only prefill, 0 to 1. */
	readonly prefillShare: number;
	readonly slots: number;
	readonly kvTokens: number;
	readonly kvTransferMsPerToken: number;
	readonly prefillTokensPerMs: number;
	/** Attention time of a million pairs of tokens, in milliseconds. */
	readonly pairsMs: number;
	/** Fixed time to the first token, during which the engine works on other prompts, in milliseconds. */
	readonly firstTokenMs: number;
	/** Time of one decoding step, and what each running request adds, in milliseconds. */
	readonly stepMs: number;
	readonly stepMsPerRequest: number;
	/** Tokens of one piece of a prefill on an engine that only prefills; an engine that decodes takes a quarter. */
	readonly pieceTokens: number;
};

/** A deployment as the model plays it. */
export type ModelSite = {
	readonly name: string;
	readonly engines: ModelEngineKind;
	readonly kinds: readonly ModelKind[];
};

type Table = Readonly<Record<string, unknown>>;

const bitsPerByte = 8;
const bitsPerMegabit = 1_000_000;
const millisecondsPerSecond = 1000;

/** Reads the model service of a deployment from a site file of the users' bench. Throws when it has none. */
export function loadSite(file: string): ModelSite {
	const site = parse(readFileSync(file, 'utf8')) as unknown as {
		readonly name: string;
		readonly services: ReadonlyArray<Table & {readonly name: string; readonly servers: ReadonlyArray<{readonly count: number}>; readonly slots: number; readonly llm?: Readonly<Record<string, number>>}>;
		readonly classes: readonly Table[];
		readonly traffic: ReadonlyArray<{readonly per_s: number; readonly mix: Readonly<Record<string, number>>}>;
		readonly thin?: number;
	};
	const service = site.services.find(({llm}) => llm);
	if (!service?.llm) {
		throw new RangeError(`${file} has no model service`);
	}

	const {llm} = service;
	const thin = site.thin ?? 1;
	const serverCount = service.servers.reduce((sum, {count}) => sum + count, 0);
	return {
		name: site.name,
		engines: {
			count: Math.max(1, Math.round(serverCount * thin)),
			prefillShare: llm.prefill ?? 0,
			slots: service.slots,
			kvTokens: llm.kv_tokens!,
			kvTransferMsPerToken: llm.kv_bytes! * bitsPerByte / (llm.link_mbps! * bitsPerMegabit) * millisecondsPerSecond,
			prefillTokensPerMs: llm.prefill_tokens_per_ms!,
			pairsMs: llm.pairs_ms_per_m ?? 0,
			firstTokenMs: llm.first_ms ?? 0,
			stepMs: llm.step_ms!,
			stepMsPerRequest: llm.step_ms_per_slot ?? 0,
			pieceTokens: llm.chunk!,
		},
		kinds: site.classes.filter(kind => kind.service === service.name).map(kind => parseKind(kind, site.traffic, thin, llm.stride ?? 1)),
	};
}

function parseKind(kind: Table, traffic: ReadonlyArray<{readonly per_s: number; readonly mix: Readonly<Record<string, number>>}>, thin: number, stride: number): ModelKind {
	const stream = kind.stream as Table;
	const chain = stream.chain as ReadonlyArray<{readonly tokens: Distribution; readonly things: number}>;
	const pieces = stream.pieces as Distribution;
	const name = String(kind.name);
	let requestsPerSecond = 0;
	for (const {per_s: perSecond, mix} of traffic) {
		const total = Object.values(mix).reduce((shares, share) => shares + share, 0);
		requestsPerSecond += perSecond * (mix[name] ?? 0) / total;
	}

	return {
		name,
		requestsPerSecond: requestsPerSecond * thin,
		targetMs: Number(kind.aim_ms),
		deadlineMs: Number(kind.deadline_ms),
		gapMs: Number(stream.gap_aim_ms ?? 0),
		worth: Number(kind.worth),
		lateWorth: Number(kind.late_worth),
		uniqueTokens: stream.prompt_tokens as Distribution,
		sharedBlocks: chain.map(({tokens, things}) => ({tokens, count: things})),
		outputTokens: {mean: pieces.mean * stride, spread: pieces.spread, max: pieces.max * stride},
	};
}

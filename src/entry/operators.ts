import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Polka, Request} from 'polka';
import {applyConfiguration} from '../configuration/index.js';
import {
	BadRequestError, ConfigurationConflictError, InvalidTextError, OperationRefusedError, StoreUnavailableError, StoreUncertainError,
} from '../errors/index.js';
import type {Membership} from '../membership/index.js';
import {requestOperation, listOperations, operationKind} from '../operations/index.js';
import type {OperationKind} from '../operations/index.js';
import {runProcedure} from '../procedures/index.js';
import {storeKey} from '../store/index.js';
import {collectFromMembers} from './askmembers.js';
import {readJson, sendJson} from './http.js';
import type {KeptParts} from './configuration.js';

/** What the operators' side uses of an entry. */
export type OperatorParts = Pick<KeptParts, 'settings' | 'store' | 'facts' | 'timers' | 'history' | 'keeper' | 'getDeployment'>;

type Operators = {readonly parts: OperatorParts; readonly getMembership: () => Membership | undefined};
type Answer = (operators: Operators, request: Request) => Promise<unknown>;

/** Adds the paths that operators use. */
export function addOperatorRoutes(app: Polka, parts: OperatorParts, getMembership: () => Membership | undefined): void {
	const operators = {parts, getMembership};
	app.get('/ops/status', wrapAnswer(operators, createStatus));
	app.get('/ops/configuration', wrapAnswer(operators, async () => parts.keeper.getStatus()));
	app.get('/ops/spread', wrapAnswer(operators, createSpread));
	app.post('/ops/apply', wrapAnswer(operators, applyRequest));
	app.get('/ops/operations', wrapAnswer(operators, async (_operators, request) => listOperations(parts.store, getDomain(operators, request))));
	app.post('/ops/operations', wrapAnswer(operators, askRequest));
	app.get('/ops/events', wrapAnswer(operators, listEvents));
	app.get('/ops/explain', wrapAnswer(operators, listEvents));
}

function wrapAnswer(operators: Operators, answer: Answer) {
	return async (request: IncomingMessage, response: ServerResponse) => {
		try {
			sendJson(response, 200, await answer(operators, request as Request));
		} catch (error) {
			sendError(response, error);
		}
	};
}

function sendError(response: ServerResponse, error: unknown): void {
	const failure = error instanceof Error ? error : new BadRequestError(String(error));
	const body = {...failure, type: failure.name, message: failure.message};
	sendJson(response, getStatus(error), {error: body});
}

function getStatus(error: unknown): number {
	if (error instanceof InvalidTextError || error instanceof BadRequestError) {
		return 400;
	}

	if (error instanceof ConfigurationConflictError || error instanceof OperationRefusedError) {
		return 409;
	}

	return error instanceof StoreUnavailableError || error instanceof StoreUncertainError ? 503 : 500;
}

async function createStatus({parts, getMembership}: Operators) {
	const membership = getMembership();
	const {text: _text, ...configuration} = parts.keeper.getStatus();
	const domains = parts.getDeployment()?.domains ?? [parts.settings.domain];
	return {
		vm: parts.settings.vm,
		domain: parts.settings.domain,
		configuration,
		listAgeMs: membership?.getVmListAgeMs(),
		members: membership?.listMembers() ?? [],
		upstreams: parts.facts.list('upstream'),
		authorities: Object.fromEntries(await Promise.all(domains.map(async domain => [domain, await readAuthority(parts, domain)] as const))),
		operations: Object.fromEntries(await Promise.all(domains.map(async domain => [domain, await readOperations(parts, domain)] as const))),
	};
}

/** The holder as the domain's order record has it; the store may be down. */
async function readAuthority(parts: OperatorParts, domain: string): Promise<unknown> {
	try {
		const found = await parts.store.read(storeKey.orders(domain));
		const record = found && JSON.parse(found.value) as {readonly holder?: unknown; readonly fence?: unknown};
		return record ? {holder: record.holder, fence: record.fence} : {holder: 'none yet'};
	} catch {
		return {holder: 'unknown: the store does not answer'};
	}
}

async function readOperations(parts: OperatorParts, domain: string): Promise<unknown> {
	try {
		return await listOperations(parts.store, domain);
	} catch {
		return 'unknown: the store does not answer';
	}
}

async function createSpread({parts, getMembership}: Operators, request: Request) {
	const version = Number(request.query.version ?? parts.keeper.getVersion());
	const members = (getMembership()?.listMembers() ?? []).filter(member => member.isLive || member.isListed);
	const isThere = (vm: string, known: number) => (vm === parts.settings.vm ? parts.keeper.getVersion() : known) >= version;
	const there = members.filter(member => isThere(member.vm, member.fact?.configuration ?? 0));
	const rest = members.filter(member => !there.includes(member));
	return {
		version,
		inForce: there.map(member => member.vm),
		notYet: rest.map(member => ({vm: member.vm, isLive: member.isLive, version: member.fact?.configuration ?? 0})),
	};
}

async function applyRequest({parts}: Operators, request: Request) {
	const {text, base, operation} = await readJson(request) as Record<string, unknown>;
	if (typeof text !== 'string' || !Number.isSafeInteger(base) || typeof operation !== 'string') {
		throw new BadRequestError('an apply has `text`, `base` (a version) and `operation` (an id)');
	}

	const applied = await runProcedure(applyConfiguration({text, base: Number(base), operation}, {
		store: parts.store,
		getVersion: () => parts.keeper.getVersion(),
		publish(accepted) {
			parts.history.record({subject: `operation/${operation}`, kind: accepted.isRepeat ? 'was accepted' : 'accepted', detail: `configuration version ${accepted.version}`});
			parts.keeper.publish(accepted);
		},
	}));
	return {version: applied.version, hash: applied.hash, isRepeat: applied.isRepeat};
}

async function askRequest(operators: Operators, request: Request) {
	const {parts} = operators;
	const body = await readJson(request) as Readonly<Record<string, unknown>>;
	const kind = Object.values(operationKind).find(known => known === body.kind);
	if (kind === undefined || typeof body.id !== 'string' || typeof body.subject !== 'string') {
		throw new BadRequestError(`an operation has \`id\`, \`subject\` and a \`kind\` of ${Object.values(operationKind).join(', ')}`);
	}

	const domain = findDomain(operators, kind, body.subject);
	const operation = await requestOperation(parts.store, domain, {
		id: body.id,
		kind,
		subject: body.subject,
		askedAt: parts.timers.getWallTime(),
		...(typeof body.replacement === 'string' ? {replacement: body.replacement} : {}),
	});
	parts.history.record({subject: `operation/${operation.id}`, kind: 'asked', detail: `${kind} ${operation.subject}`});
	return {domain, operation};
}

function findDomain({parts, getMembership}: Operators, kind: OperationKind, subject: string): string {
	const found = kind === operationKind.confirmStopped
		? getMembership()?.listMembers().find(member => member.vm === subject)
		: parts.getDeployment()?.upstreams.find(upstream => upstream.id === subject);
	if (!found) {
		throw new BadRequestError(`${subject} is not known here`);
	}

	return found.domain;
}

function getDomain({parts}: Operators, request: Request): string {
	return typeof request.query.domain === 'string' ? request.query.domain : parts.settings.domain;
}

/** Events of this entry and, unless `local` is given, of the others; `explain` adds their causes. */
async function listEvents({parts, getMembership}: Operators, request: Request) {
	const {history, settings} = parts;
	const subject = typeof request.query.subject === 'string' ? request.query.subject : undefined;
	const isExplained = request.path === '/ops/explain' && subject !== undefined;
	const own = isExplained ? history.explain(subject) : history.list(Number(request.query.after ?? 0), subject);
	const answers = [{vm: settings.vm, events: own}];
	if (request.query.local !== undefined) {
		return {answers, unheard: []};
	}

	const others = (getMembership()?.listMembers() ?? []).filter(member => member.vm !== settings.vm && member.isLive);
	const {found, unheard} = await collectFromMembers(others, request.path, {...request.query, local: '1'});
	return {answers: [...answers, ...found], unheard};
}

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
import {collectMemberEvents} from './memberevents.js';
import {readJson, sendJson} from './http.js';
import type {ConfiguredEntryDependencies} from './configuration.js';

/** What the handlers of operators' requests use of an entry. */
export type OperatorDependencies = Pick<ConfiguredEntryDependencies, 'settings' | 'store' | 'facts' | 'timers' | 'history' | 'configuration' | 'getDeployment'>;

type OperatorContext = {readonly dependencies: OperatorDependencies; readonly getMembership: () => Membership | undefined};
type OperatorHandler = (context: OperatorContext, request: Request) => Promise<unknown>;

/** Adds the routes for operators. `getMembership` returns `undefined` until gossip has started. */
export function addOperatorRoutes(app: Polka, dependencies: OperatorDependencies, getMembership: () => Membership | undefined): void {
	const context = {dependencies, getMembership};
	app.get('/ops/status', wrapHandler(context, createStatus));
	app.get('/ops/configuration', wrapHandler(context, async () => dependencies.configuration.getStatus()));
	app.get('/ops/spread', wrapHandler(context, createRolloutReport));
	app.post('/ops/apply', wrapHandler(context, handleApplyRequest));
	app.get('/ops/operations', wrapHandler(context, async (_context, request) => listOperations(dependencies.store, getDomain(context, request))));
	app.post('/ops/operations', wrapHandler(context, handleOperationRequest));
	app.get('/ops/events', wrapHandler(context, listEvents));
	app.get('/ops/explain', wrapHandler(context, listEvents));
}

function wrapHandler(context: OperatorContext, handle: OperatorHandler) {
	return async (request: IncomingMessage, response: ServerResponse) => {
		try {
			sendJson(response, 200, await handle(context, request as Request));
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

async function createStatus({dependencies, getMembership}: OperatorContext) {
	const membership = getMembership();
	const {text: _text, ...configuration} = dependencies.configuration.getStatus();
	const domains = dependencies.getDeployment()?.domains ?? [dependencies.settings.domain];
	return {
		vm: dependencies.settings.vm,
		domain: dependencies.settings.domain,
		configuration,
		listAgeMs: membership?.getVmListAgeMs(),
		members: membership?.listMembers() ?? [],
		upstreams: dependencies.facts.list('upstream'),
		authorities: Object.fromEntries(await Promise.all(domains.map(async domain => [domain, await readAuthority(dependencies, domain)] as const))),
		operations: Object.fromEntries(await Promise.all(domains.map(async domain => [domain, await readOperations(dependencies, domain)] as const))),
	};
}

/** Reads who holds the authority over a failure domain from the domain's record; says so in `holder` when the store does not answer. */
async function readAuthority(dependencies: OperatorDependencies, domain: string): Promise<unknown> {
	try {
		const storedValue = await dependencies.store.read(storeKey.orders(domain));
		const record = storedValue && JSON.parse(storedValue.value) as {readonly holder?: unknown; readonly fence?: unknown};
		return record ? {holder: record.holder, fence: record.fence} : {holder: 'none yet'};
	} catch {
		return {holder: 'unknown: the store does not answer'};
	}
}

async function readOperations(dependencies: OperatorDependencies, domain: string): Promise<unknown> {
	try {
		return await listOperations(dependencies.store, domain);
	} catch {
		return 'unknown: the store does not answer';
	}
}

async function createRolloutReport({dependencies, getMembership}: OperatorContext, request: Request) {
	const version = Number(request.query.version ?? dependencies.configuration.getVersion());
	const members = (getMembership()?.listMembers() ?? []).filter(member => member.isLive || member.isListed);
	const isInForce = (vm: string, known: number) => (vm === dependencies.settings.vm ? dependencies.configuration.getVersion() : known) >= version;
	const membersInForce = members.filter(member => isInForce(member.vm, member.fact?.configuration ?? 0));
	const outdatedMembers = members.filter(member => !membersInForce.includes(member));
	return {
		version,
		inForce: membersInForce.map(member => member.vm),
		notYet: outdatedMembers.map(member => ({vm: member.vm, isLive: member.isLive, version: member.fact?.configuration ?? 0})),
	};
}

async function handleApplyRequest({dependencies}: OperatorContext, request: Request) {
	const {text, base, operation} = await readJson(request) as Record<string, unknown>;
	if (typeof text !== 'string' || !Number.isSafeInteger(base) || typeof operation !== 'string') {
		throw new BadRequestError('an apply has `text`, `base` (a version) and `operation` (an id)');
	}

	const applied = await runProcedure(applyConfiguration({text, base: Number(base), operation}, {
		store: dependencies.store,
		getVersion: () => dependencies.configuration.getVersion(),
		publish(accepted) {
			dependencies.history.record({subject: `operation/${operation}`, kind: accepted.isRepeat ? 'was accepted' : 'accepted', detail: `configuration version ${accepted.version}`});
			dependencies.configuration.publish(accepted);
		},
	}));
	return {version: applied.version, hash: applied.hash, isRepeat: applied.isRepeat};
}

async function handleOperationRequest(context: OperatorContext, request: Request) {
	const {dependencies} = context;
	const body = await readJson(request) as Readonly<Record<string, unknown>>;
	const kind = Object.values(operationKind).find(known => known === body.kind);
	if (kind === undefined || typeof body.id !== 'string' || typeof body.subject !== 'string') {
		throw new BadRequestError(`an operation has \`id\`, \`subject\` and a \`kind\` of ${Object.values(operationKind).join(', ')}`);
	}

	const domain = findDomain(context, kind, body.subject);
	const operation = await requestOperation(dependencies.store, domain, {
		id: body.id,
		kind,
		subject: body.subject,
		askedAt: dependencies.timers.getWallTime(),
		...(typeof body.replacement === 'string' ? {replacement: body.replacement} : {}),
	});
	dependencies.history.record({subject: `operation/${operation.id}`, kind: 'asked', detail: `${kind} ${operation.subject}`});
	return {domain, operation};
}

function findDomain({dependencies, getMembership}: OperatorContext, kind: OperationKind, subject: string): string {
	const found = kind === operationKind.confirmStopped
		? getMembership()?.listMembers().find(member => member.vm === subject)
		: dependencies.getDeployment()?.upstreams.find(upstream => upstream.id === subject);
	if (!found) {
		throw new BadRequestError(`${subject} is not known here`);
	}

	return found.domain;
}

function getDomain({dependencies}: OperatorContext, request: Request): string {
	return typeof request.query.domain === 'string' ? request.query.domain : dependencies.settings.domain;
}

/**
Lists the events of this entry and, unless the query has `local`, of the other live entries. `/ops/explain` with a subject
also lists the events that caused them.
*/
async function listEvents({dependencies, getMembership}: OperatorContext, request: Request) {
	const {history, settings} = dependencies;
	const subject = typeof request.query.subject === 'string' ? request.query.subject : undefined;
	const isExplained = request.path === '/ops/explain' && subject !== undefined;
	const localEvents = isExplained ? history.explain(subject) : history.list(Number(request.query.after ?? 0), subject);
	const answers = [{vm: settings.vm, events: localEvents}];
	if (request.query.local !== undefined) {
		return {answers, unheard: []};
	}

	const remoteMembers = (getMembership()?.listMembers() ?? []).filter(member => member.vm !== settings.vm && member.isLive);
	const {found, unheard} = await collectMemberEvents(remoteMembers, request.path, {...request.query, local: '1'});
	return {answers: [...answers, ...found], unheard};
}

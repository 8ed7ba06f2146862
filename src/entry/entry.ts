import type {Server} from 'node:http';
import polka from 'polka';
import type {Upstream} from '../deployment/index.js';
import {formatError, subscribeUnhandledErrors} from '../errors/index.js';
import {FactTable} from '../feed/index.js';
import {History} from '../history/index.js';
import {startLogs} from '../logs/index.js';
import {Metrics} from '../metrics/index.js';
import type {EntrySettings} from '../settings/index.js';
import type {Membership} from '../membership/index.js';
import {CountedStore, HttpStore, HttpVmList} from '../store/index.js';
import {SystemTimers} from '../timers/index.js';
import {HttpEngine} from '../upstreams/index.js';
import {startAuthority} from './authority.js';
import {
	addCallerRoutes, createCallerDependencies, setServerTimeouts, subscribeSignals,
} from './callers.js';
import {createConfiguration} from './configuration.js';
import type {ConfiguredEntryDependencies} from './configuration.js';
import {createDecisions} from './decisions.js';
import {startGossip} from './gossip.js';
import {addOperatorRoutes} from './operators.js';
import type {Decisions} from './decisions.js';
import type {GracefulStop} from './stop.js';
import {handleUnreadableRequests} from './unreadable.js';

/** Dependencies that are created after the others, which read them when they need them. */
type LateDependencies = {membership?: Membership};

/** Starts an entry: listens for requests, then joins the other entries. Returns its graceful stop once everything has started. Rejects when an address can't be bound. */
export async function startEntry(settings: EntrySettings): Promise<GracefulStop> {
	const late: LateDependencies = {};
	const dependencies = createDependencies(settings, late);
	startLogs(dependencies.history, {program: 'crocus-entry', vm: settings.vm, domain: settings.domain});
	subscribeUnhandledErrors((kind, error) => {
		dependencies.metrics.count('unhandledErrors', kind);
		dependencies.history.record({subject: 'process', kind: `${kind} not handled`, detail: formatError(error)});
	});
	dependencies.configuration.start();
	const [host, port] = settings.http.split(':');
	const app = polka();
	const callerDependencies = createCallerDependencies(dependencies);
	addCallerRoutes(app, callerDependencies);
	addOperatorRoutes(app, dependencies, () => late.membership);
	await new Promise<void>((resolve, reject) => {
		app.listen(Number(port), host, resolve);
		app.server?.once('error', reject);
	});
	setServerTimeouts(app.server as Server);
	handleUnreadableRequests(app.server as Server, dependencies.history);
	subscribeSignals(callerDependencies, app.server as Server);
	const gossip = await startGossip({...callerDependencies, configuration: dependencies.configuration});
	late.membership = gossip.membership;
	const stopDecisions = dependencies.decisions.start();
	callerDependencies.stop.addShutdownTask({
		name: 'stop collecting loads',
		async run() {
			stopDecisions();
		},
	});
	callerDependencies.stop.addShutdownTask({
		name: 'stop following the configuration',
		async run() {
			dependencies.configuration.stop();
		},
	});
	startAuthority(callerDependencies, dependencies.decisions.planner);
	return callerDependencies.stop;
}

function createDependencies(settings: EntrySettings, late: LateDependencies): ConfiguredEntryDependencies & {readonly decisions: Decisions} {
	const facts = new FactTable();
	const timers = new SystemTimers();
	const engines = new Map<string, HttpEngine>();
	const history = new History(timers);
	const metrics = new Metrics();
	metrics.addProcessMetrics();
	const store = new CountedStore(new HttpStore(settings.platform), outcome => {
		metrics.count('storeCalls', outcome);
	});
	const configuration = createConfiguration({
		settings, timers, store, facts, history, metrics,
	}, () => late.membership);
	const getDeployment = () => configuration.getDeployment();

	const getEngine = (upstream: Upstream) => {
		const engine = engines.get(upstream.address) ?? new HttpEngine(upstream.address);
		engines.set(upstream.address, engine);
		return engine;
	};

	const decisions = createDecisions({
		settings, timers, facts, metrics, getDeployment, getEngine,
	});
	return {
		settings,
		timers,
		store,
		vms: new HttpVmList(settings.platform),
		facts,
		metrics,
		history,
		configuration,
		router: decisions.router,
		decisions,
		getDeployment,
		getEngine,
	};
}

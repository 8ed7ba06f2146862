import type {Server} from 'node:http';
import polka from 'polka';
import type {Upstream} from '../deployment/index.js';
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
	addCallerRoutes, createCallers, setServerTimeouts, subscribeSignals,
} from './callers.js';
import {createKeeper} from './configuration.js';
import type {KeptParts} from './configuration.js';
import {createDecisions} from './decisions.js';
import {startFeed} from './feed.js';
import {addOperatorRoutes} from './operators.js';
import type {Decisions} from './decisions.js';
import type {GracefulStop} from './stop.js';

/** What is made after the parts and used by them. */
type LateParts = {membership?: Membership};

/** Starts an entry's process and returns when it listens, with what stops it. */
export async function startEntry(settings: EntrySettings): Promise<GracefulStop> {
	const late: LateParts = {};
	const parts = createParts(settings, late);
	startLogs(parts.history, {program: 'crocus-entry', vm: settings.vm, domain: settings.domain});
	parts.keeper.start();
	const [host, port] = settings.http.split(':');
	const app = polka();
	const callers = createCallers(parts);
	addCallerRoutes(app, callers);
	addOperatorRoutes(app, parts, () => late.membership);
	await new Promise<void>(resolve => {
		app.listen(Number(port), host, resolve);
	});
	setServerTimeouts(app.server as Server);
	subscribeSignals(callers, app.server as Server);
	const feed = await startFeed({...callers, keeper: parts.keeper});
	late.membership = feed.membership;
	const stopDecisions = parts.decisions.start();
	callers.stop.addLastTask({
		name: 'stop collecting loads',
		async run() {
			stopDecisions();
		},
	});
	callers.stop.addLastTask({
		name: 'stop following the configuration',
		async run() {
			parts.keeper.stop();
		},
	});
	startAuthority(callers, parts.decisions.planner);
	return callers.stop;
}

function createParts(settings: EntrySettings, late: LateParts): KeptParts & {readonly decisions: Decisions} {
	const facts = new FactTable();
	const timers = new SystemTimers();
	const engines = new Map<string, HttpEngine>();
	const history = new History(timers);
	const metrics = new Metrics();
	metrics.addProcessMetrics();
	const store = new CountedStore(new HttpStore(settings.platform), outcome => {
		metrics.count('storeCalls', outcome);
	});
	const keeper = createKeeper({
		settings, timers, store, facts, history, metrics,
	}, () => late.membership);
	const getDeployment = () => keeper.getDeployment();

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
		keeper,
		router: decisions.router,
		decisions,
		getDeployment,
		getEngine,
	};
}

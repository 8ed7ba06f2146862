import type {Server} from 'node:http';
import polka from 'polka';
import {parseDeployment} from '../deployment/index.js';
import type {Deployment, Upstream} from '../deployment/index.js';
import {FactTable} from '../feed/index.js';
import {History} from '../history/index.js';
import {Metrics} from '../metrics/index.js';
import type {EntrySettings} from '../settings/index.js';
import {
	absentRevision, HttpStore, HttpVmList, storeKey,
} from '../store/index.js';
import {SystemTimers} from '../timers/index.js';
import {HttpEngine} from '../upstreams/index.js';
import {startAuthority} from './authority.js';
import {
	addCallerRoutes, createCallers, setServerTimeouts, subscribeSignals,
} from './callers.js';
import {createDecisions} from './decisions.js';
import {startFeed} from './feed.js';
import type {Decisions} from './decisions.js';
import type {EntryParts} from './parts.js';
import type {GracefulStop} from './stop.js';

const configurationWaitMs = 10_000;
const retryPauseMs = 500;

/** Starts an entry's process and returns when it listens, with what stops it. */
export async function startEntry(settings: EntrySettings): Promise<GracefulStop> {
	const parts = createParts(settings);
	void watchConfiguration(parts);
	const [host, port] = settings.http.split(':');
	const app = polka();
	const callers = createCallers(parts);
	addCallerRoutes(app, callers);
	await new Promise<void>(resolve => {
		app.listen(Number(port), host, resolve);
	});
	setServerTimeouts(app.server as Server);
	subscribeSignals(callers, app.server as Server);
	await startFeed(callers);
	const stopDecisions = parts.decisions.start();
	callers.stop.addLastTask({
		name: 'stop collecting loads',
		async run() {
			stopDecisions();
		},
	});
	startAuthority(callers, parts.decisions.planner);
	return callers.stop;
}

function createParts(settings: EntrySettings): EntryParts & {readonly decisions: Decisions} {
	const facts = new FactTable();
	const timers = new SystemTimers();
	const engines = new Map<string, HttpEngine>();
	let parsed: {version: number; deployment: Deployment} | undefined;
	const getDeployment = () => {
		const fact = facts.get('configuration', '');
		if (fact && parsed?.version !== fact.version) {
			parsed = {version: fact.version, deployment: parseDeployment(fact.value.text)};
		}

		return parsed?.deployment;
	};

	const getEngine = (upstream: Upstream) => {
		const engine = engines.get(upstream.address) ?? new HttpEngine(upstream.address);
		engines.set(upstream.address, engine);
		return engine;
	};

	const metrics = new Metrics();
	const decisions = createDecisions({
		settings, timers, facts, metrics, getDeployment, getEngine,
	});
	return {
		settings,
		timers,
		store: new HttpStore(settings.platform),
		vms: new HttpVmList(settings.platform),
		facts,
		metrics,
		history: new History(timers),
		router: decisions.router,
		decisions,
		getDeployment,
		getEngine,
	};
}

async function watchConfiguration(parts: EntryParts): Promise<void> {
	let revision = absentRevision;
	for (;;) {
		try {
			const found = await parts.store.watch(storeKey.configuration, revision, configurationWaitMs);
			if (found) {
				revision = found.revision;
				const {version, text, hash} = JSON.parse(found.value) as {version: number; text: string; hash: string};
				parts.facts.merge({
					kind: 'configuration', key: '', version, value: {text, hash},
				});
			}
		} catch {
			await parts.timers.sleep(retryPauseMs);
		}
	}
}

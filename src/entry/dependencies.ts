import type {Deployment, Upstream} from '../deployment/index.js';
import type {FactTable} from '../feed/index.js';
import type {History} from '../history/index.js';
import type {Metrics} from '../metrics/index.js';
import type {Router} from '../routing/index.js';
import type {EntrySettings} from '../settings/index.js';
import type {Store, VmList} from '../store/index.js';
import type {TimerService} from '../timers/index.js';
import type {EngineClient} from '../upstreams/index.js';

/** What the code of an entry's process shares, created once at its start. */
export type EntryDependencies = {
	readonly settings: EntrySettings;
	readonly timers: TimerService;
	readonly store: Store;
	readonly vms: VmList;
	readonly facts: FactTable;
	readonly metrics: Metrics;
	readonly history: History;
	readonly router: Router;
	/** Returns the configuration in force; `undefined` until one is known. */
	readonly getDeployment: () => Deployment | undefined;
	readonly getEngine: (upstream: Upstream) => EngineClient;
};

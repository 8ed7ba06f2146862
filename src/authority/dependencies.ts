import type {Deployment} from '../deployment/index.js';
import type {FactTable} from '../feed/index.js';
import type {History} from '../history/index.js';
import type {Metrics} from '../metrics/index.js';
import type {RolePlanner} from '../planning/index.js';
import type {StepHooks} from '../procedures/index.js';
import type {Store, VmList} from '../store/index.js';
import type {TimerService} from '../timers/index.js';
import type {EngineClient} from '../upstreams/index.js';

/** What an {@link Authority} works with. */
export type AuthorityDependencies = {
	readonly vm: string;
	readonly domain: string;
	/** Rises with each start of the process; the same as in its member fact. */
	readonly incarnation: number;
	readonly store: Store;
	readonly vms: VmList;
	readonly timers: TimerService;
	/** Clocks of the lease, when others than `timers`. */
	readonly leaseTimers?: TimerService;
	readonly facts: FactTable;
	readonly history: History;
	readonly metrics: Metrics;
	readonly planner: RolePlanner;
	readonly getDeployment: () => Deployment | undefined;
	/** Gives the client of the engine at an address. */
	readonly getEngine: (id: string, address: string) => EngineClient;
	/** Number from 0 to 1 for jitter. */
	readonly getRandom: () => number;
	readonly createId: () => string;
	/** Observes every step of every procedure. */
	readonly hooks?: StepHooks;
};

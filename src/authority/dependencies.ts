import type {Deployment} from '../deployment/index.js';
import type {FactTable} from '../feed/index.js';
import type {History} from '../history/index.js';
import type {Metrics} from '../metrics/index.js';
import type {RolePlanner} from '../planning/index.js';
import type {StepHooks} from '../procedures/index.js';
import type {Store, VmList} from '../store/index.js';
import type {TimerService} from '../timers/index.js';
import type {EngineClient} from '../upstreams/index.js';

/** What an `Authority` needs. */
export type AuthorityDependencies = {
	readonly vm: string;
	readonly domain: string;
	/** Identifies one start of the entry's process; higher with each start, and the same as in the fact that it publishes about itself. */
	readonly incarnation: number;
	readonly store: Store;
	readonly vms: VmList;
	readonly timers: TimerService;
	/** Clocks of the lease, if they differ from `timers`. */
	readonly leaseTimers?: TimerService;
	readonly facts: FactTable;
	readonly history: History;
	readonly metrics: Metrics;
	readonly planner: RolePlanner;
	readonly getDeployment: () => Deployment | undefined;
	/** Returns the client of the engine at an address. */
	readonly getEngine: (id: string, address: string) => EngineClient;
	/** Returns a uniform random number in [0, 1), for jitter. */
	readonly getRandom: () => number;
	/** Creates an id that is never used again. */
	readonly createId: () => string;
	/** Observes every step of every procedure. */
	readonly hooks?: StepHooks;
};

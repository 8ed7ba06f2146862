import type {Deployment} from '../deployment/index.js';
import {upstreamState} from '../feed/index.js';
import type {FactTable} from '../feed/index.js';
import type {History} from '../history/index.js';
import type {TimerService} from '../timers/index.js';

/** Time after the first configuration for which an entry waits for an upstream of each service, in milliseconds: a domain's authority takes over and sets up its engines in it. */
const maxUpstreamWaitMs = 5000;

/** Dependencies of {@link Readiness}. */
export type ReadinessDependencies = {
	readonly timers: TimerService;
	readonly facts: FactTable;
	readonly history: History;
	readonly getDeployment: () => Deployment | undefined;
};

/**
Whether an entry that has started may get requests: it has a configuration and knows a serving upstream of each configured
service, or has waited for one for a bounded time. A ready entry stays ready: an upstream that is lost later is as lost
for the other entries.
*/
export class Readiness {
	readonly #dependencies: ReadinessDependencies;
	#configuredAt: number | undefined;
	#isReady = false;

	constructor(dependencies: ReadinessDependencies) {
		this.#dependencies = dependencies;
	}

	/** Returns whether the entry is ready, and the services for which it knows no serving upstream. */
	check(): {readonly isReady: boolean; readonly lacking: readonly string[]} {
		const {timers, history, getDeployment} = this.#dependencies;
		const deployment = getDeployment();
		if (!deployment) {
			return {isReady: this.#isReady, lacking: []};
		}

		this.#configuredAt ??= timers.getNow();
		const lacking = this.#listLacking(deployment);
		if (!this.#isReady) {
			const waitedMs = Math.round(timers.getNow() - this.#configuredAt);
			this.#isReady = lacking.length === 0 || waitedMs >= maxUpstreamWaitMs;
			if (this.#isReady) {
				const found = lacking.length === 0 ? 'an upstream of each service serves' : `no serving upstream of ${lacking.join(', ')} is known`;
				history.record({subject: 'process', kind: 'ready', detail: `${found} after ${waitedMs} ms`});
			}
		}

		return {isReady: this.#isReady, lacking};
	}

	#listLacking({services, upstreams}: Deployment): string[] {
		const served = new Set(upstreams
			.filter(({id}) => this.#dependencies.facts.get('upstream', id)?.value.state === upstreamState.serving)
			.map(({service}) => service));
		return services.map(({name}) => name).filter(name => !served.has(name));
	}
}

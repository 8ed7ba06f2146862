import type {ModelService} from '../deployment/index.js';
import type {Placement, RoutingRequest} from '../routing/index.js';
import {computeStreamTimeouts} from '../serving/index.js';
import type {EngineConnection, ResumePoint, StreamDependencies} from '../serving/index.js';
import {vmState} from '../store/index.js';
import {HttpEngine} from '../upstreams/index.js';
import type {CallerDependencies} from './callerdependencies.js';
import {RelayEngine} from './relayengine.js';

type StreamContext = Pick<StreamDependencies, 'signal' | 'onEvents'> & {readonly service: ModelService; readonly routingRequest: RoutingRequest};

/** Creates what serving one stream needs. */
export function createStreamDependencies(dependencies: CallerDependencies, {service, routingRequest, signal, onEvents}: StreamContext): StreamDependencies {
	return {
		router: dependencies.router,
		timers: dependencies.timers,
		metrics: dependencies.metrics,
		history: dependencies.history,
		getConnection: (placement, isFresh) => openEngine(dependencies, placement, isFresh),
		getTimeouts(placement, isAgain) {
			const role = dependencies.facts.get('upstream', placement.upstream.id)?.value.setup?.role;
			return computeStreamTimeouts({
				service, role, request: routingRequest, now: dependencies.timers.getNow(), isResume: isAgain,
			});
		},
		onEvents,
		signal,
	};
}

/** Finds the engine that may still have the request which a caller resumes, and an entry to relay through if it is in another failure domain. */
export function findHeldPlacement(dependencies: CallerDependencies, resumePoint: ResumePoint): Placement | undefined {
	const upstream = dependencies.getDeployment()?.upstreams.find(({id}) => id === resumePoint.engine);
	if (!upstream || upstream.domain === dependencies.settings.domain) {
		return upstream && {upstream};
	}

	const via = findEntry(dependencies, upstream.domain);
	return via === undefined ? undefined : {upstream, relayAddress: via};
}

/** Chooses a random live entry of another failure domain to relay through. Returns `host:port` of its HTTP server, `undefined` when none is live. */
export function findEntry(dependencies: Pick<CallerDependencies, 'facts' | 'getRandom'>, domain: string): string | undefined {
	const members = dependencies.facts.list('member').map(({value}) => value);
	const liveMembers = members.filter(member => member.domain === domain && member.state === vmState.live);
	return liveMembers.at(Math.floor(dependencies.getRandom() * liveMembers.length))?.http;
}

function openEngine(dependencies: CallerDependencies, placement: Placement, isFresh: boolean): EngineConnection {
	if (placement.relayAddress !== undefined) {
		const client = new RelayEngine(placement.relayAddress, placement.upstream, dependencies.settings.secret);
		return {
			client,
			close() {
				void client.close();
			},
		};
	}

	if (!isFresh) {
		return {
			client: dependencies.getEngine(placement.upstream),
			close() {
				// The client is shared, and keeps its connections for other requests.
			},
		};
	}

	const client = new HttpEngine(placement.upstream.address);
	return {
		client,
		close() {
			void client.close();
		},
	};
}

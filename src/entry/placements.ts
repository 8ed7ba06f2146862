import type {ModelService} from '../deployment/index.js';
import type {Placement, RoutingRequest} from '../routing/index.js';
import {computeStreamTimeouts} from '../serving/index.js';
import type {EngineConnection, ResumePoint, StreamDependencies} from '../serving/index.js';
import {vmState} from '../store/index.js';
import {HttpEngine} from '../upstreams/index.js';
import type {CallerParts} from './callerparts.js';
import {RelayEngine} from './relayclient.js';

type StreamContext = Pick<StreamDependencies, 'signal' | 'onEvents'> & {readonly service: ModelService; readonly work: RoutingRequest};

/** Puts together what serving one stream needs. */
export function createStreamParts(parts: CallerParts, {service, work, signal, onEvents}: StreamContext): StreamDependencies {
	return {
		router: parts.router,
		timers: parts.timers,
		metrics: parts.metrics,
		getConnection: (placement, isFresh) => openEngine(parts, placement, isFresh),
		getTimeouts(placement, isAgain) {
			const role = parts.facts.get('upstream', placement.upstream.id)?.value.setup?.role;
			return computeStreamTimeouts({
				service, role, request: work, now: parts.timers.getNow(), isResume: isAgain,
			});
		},
		onEvents,
		signal,
	};
}

/** Finds the engine that may still hold the request of a caller that comes back. */
export function findHeldPlacement(parts: CallerParts, point: ResumePoint): Placement | undefined {
	const upstream = parts.getDeployment()?.upstreams.find(({id}) => id === point.engine);
	if (!upstream || upstream.domain === parts.settings.domain) {
		return upstream && {upstream};
	}

	const via = findEntry(parts, upstream.domain);
	return via === undefined ? undefined : {upstream, relayAddress: via};
}

/** Finds an entry of another failure domain to relay through: `host:port` of its HTTP side. */
export function findEntry(parts: Pick<CallerParts, 'facts' | 'pick'>, domain: string): string | undefined {
	const members = parts.facts.list('member').map(({value}) => value);
	const live = members.filter(member => member.domain === domain && member.state === vmState.live);
	return live.at(Math.floor(parts.pick() * live.length))?.http;
}

function openEngine(parts: CallerParts, placement: Placement, isFresh: boolean): EngineConnection {
	if (placement.relayAddress !== undefined) {
		const client = new RelayEngine(placement.relayAddress, placement.upstream, parts.settings.secret);
		return {
			client,
			close() {
				void client.close();
			},
		};
	}

	if (!isFresh) {
		return {
			client: parts.getEngine(placement.upstream),
			close() {
				// The pool keeps its connections.
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

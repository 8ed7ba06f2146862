import type {GatewayConfiguration, Route} from './types.js';

/** Finds the route of a request: among those of its host, the one with the longest prefix of its path. */
export class RouteTable {
	readonly #routesByHost = new Map<string, Route[]>();

	constructor(configuration: GatewayConfiguration) {
		for (const route of configuration.routes) {
			const host = route.host.toLowerCase();
			const routes = this.#routesByHost.get(host) ?? [];
			routes.push(route);
			this.#routesByHost.set(host, routes);
		}

		for (const routes of this.#routesByHost.values()) {
			routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
		}
	}

	/** Finds the route for a `Host` header and a path, which may have a query. */
	findRoute(host: string, path: string): Route | undefined {
		const queryStart = path.indexOf('?');
		const pathWithoutQuery = queryStart === -1 ? path : path.slice(0, queryStart);
		return this.#routesByHost.get(host.toLowerCase())?.find(route => pathWithoutQuery.startsWith(route.pathPrefix));
	}
}

/** Chooses the service of one request by the weights of its route; `random` is a uniform random number in [0, 1). */
export function chooseService(route: Route, random: number): string | undefined {
	const totalWeight = route.shares.reduce((sum, share) => sum + share.weight, 0);
	let remainingWeight = random * totalWeight;
	for (const share of route.shares) {
		remainingWeight -= share.weight;
		if (remainingWeight < 0) {
			return share.service;
		}
	}

	return route.shares.at(-1)?.service;
}

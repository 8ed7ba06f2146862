import type {GatewayConfiguration, Route} from './types.js';

/** Finds the route of a request: the longest prefix of its path among the routes of its host. */
export class RouteTable {
	readonly #byHost = new Map<string, Route[]>();

	constructor(configuration: GatewayConfiguration) {
		for (const route of configuration.routes) {
			const host = route.host.toLowerCase();
			const routes = this.#byHost.get(host) ?? [];
			routes.push(route);
			this.#byHost.set(host, routes);
		}

		for (const routes of this.#byHost.values()) {
			routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
		}
	}

	/** Finds the route for a `Host` field and a path with its query. */
	findRoute(host: string, path: string): Route | undefined {
		const query = path.indexOf('?');
		const bare = query === -1 ? path : path.slice(0, query);
		return this.#byHost.get(host.toLowerCase())?.find(route => bare.startsWith(route.pathPrefix));
	}
}

/** Chooses the service of one request by the weights of its route; `unit` is a random number below 1. */
export function chooseService(route: Route, unit: number): string | undefined {
	const total = route.shares.reduce((sum, share) => sum + share.weight, 0);
	let left = unit * total;
	for (const share of route.shares) {
		left -= share.weight;
		if (left < 0) {
			return share.service;
		}
	}

	return route.shares.at(-1)?.service;
}

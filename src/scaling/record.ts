import {dutyKey} from '../duties/index.js';

/** A number of engines as the store keeps it. */
export type OrderRecord = {readonly domain: string; readonly isSpot: boolean; readonly desired: number};

/** Maximum number of orders in a record; more are not of this program. */
const maxOrders = 1000;

/** Formats the name of the duty to order a service's engines. */
export function formatScalingDuty(service: string): string {
	return `scale/${service}`;
}

/** Formats the key under which the store keeps what was ordered for a service. */
export function formatOrdersKey(service: string): string {
	return `${dutyKey.prefix}${formatScalingDuty(service)}/orders`;
}

/** Formats orders as the store keeps them. */
export function formatOrders(orders: readonly OrderRecord[]): string {
	return JSON.stringify({orders: orders.map(({domain, isSpot, desired}) => ({domain, spot: isSpot, desired}))});
}

/** Parses orders from the store; none when they are malformed, as the registrations then tell what is there. */
export function parseOrders(text: string | undefined): OrderRecord[] {
	if (text === undefined) {
		return [];
	}

	try {
		const {orders} = JSON.parse(text) as {orders?: unknown};
		return Array.isArray(orders) ? orders.slice(0, maxOrders).flatMap(item => parseOrder(item)) : [];
	} catch {
		return [];
	}
}

function parseOrder(item: unknown): OrderRecord[] {
	const {domain, spot, desired} = (typeof item === 'object' ? item ?? {} : {}) as Record<string, unknown>;
	return typeof domain === 'string' && typeof spot === 'boolean' && Number.isSafeInteger(desired) && (desired as number) >= 0
		? [{domain, isSpot: spot, desired: desired as number}]
		: [];
}

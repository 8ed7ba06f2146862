/** Keys in the store; every value is JSON text. */
export const storeKey = {
	/** The latest accepted configuration. */
	configuration: 'configuration',
	/** The domain record of a failure domain, which its authority writes: the fence, the upstreams and their orders. */
	orders: (domain: string) => `domains/${domain}/orders`,
	/** Operations that operators have requested in a failure domain. */
	operations: (domain: string) => `domains/${domain}/operations`,
	/** One bucket of a failure domain's claims, which record the use of idempotency keys. */
	claims: (domain: string, bucket: number) => `domains/${domain}/claims/${bucket}`,
} as const;

/** Names of leases in the store. */
export const leaseName = {
	/** Held by the entry that is the authority of a failure domain. */
	authority: (domain: string) => `domains/${domain}/authority`,
} as const;

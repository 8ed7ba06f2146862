/** Keys of the store; each value is JSON text. */
export const storeKey = {
	/** The accepted configuration. */
	configuration: 'configuration',
	/** The order record of a failure domain. */
	orders: (domain: string) => `domains/${domain}/orders`,
	/** The operations that operators have asked for in a failure domain. */
	operations: (domain: string) => `domains/${domain}/operations`,
	/** One bucket of a failure domain's claims on idempotency keys. */
	claims: (domain: string, bucket: number) => `domains/${domain}/claims/${bucket}`,
} as const;

/** Names of the store's leases. */
export const leaseName = {
	/** The lease of a failure domain's authority. */
	authority: (domain: string) => `domains/${domain}/authority`,
} as const;

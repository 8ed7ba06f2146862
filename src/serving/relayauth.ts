import {Buffer} from 'node:buffer';
import {createHmac, timingSafeEqual} from 'node:crypto';

/** Headers of a request that one entry relays to another, and of its answer. */
export const relayHeader = {
	/** Id of the upstream that the request is for. */
	upstream: 'x-crocus-upstream',
	/** Proof that the sender knows the deployment's secret; see {@link createProof}. */
	proof: 'x-crocus-proof',
	/** Present when the call may not be repeated. */
	nonRepeatable: 'x-crocus-once',
	/** On an answer: it is not known whether the call ran. */
	unknownOutcome: 'x-crocus-unknown',
} as const;

/** Paths at which an entry accepts requests from entries of other failure domains. */
export const relayPath = {
	generate: '/internal/v1/generate',
	cancel: '/internal/v1/cancel',
	services: '/internal/v1/services',
} as const;

/** Creates the proof for relaying the request `id` to `upstream`. */
export function createProof(secret: string, upstream: string, id: string): string {
	return createHmac('sha256', secret).update(`relay\n${upstream}\n${id}`).digest('hex');
}

/** Compares a received proof with the expected one, in constant time. */
export function isProofValid(proof: unknown, expected: string): boolean {
	const proofBytes = Buffer.from(String(proof));
	const expectedBytes = Buffer.from(expected);
	return proofBytes.length === expectedBytes.length && timingSafeEqual(proofBytes, expectedBytes);
}

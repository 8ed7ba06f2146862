import {createHash} from 'node:crypto';

/** Computes the hash that identifies a configuration text: SHA-256 in hexadecimal. */
export function computeTextHash(text: string): string {
	return createHash('sha256').update(text).digest('hex');
}

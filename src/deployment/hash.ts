import {createHash} from 'node:crypto';

/** Computes the hash by which a configuration's text is known: SHA-256 in hexadecimal. */
export function computeTextHash(text: string): string {
	return createHash('sha256').update(text).digest('hex');
}

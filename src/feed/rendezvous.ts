const offsetBasis = 0x81_1C_9D_C5;
const fnvPrime = 0x01_00_01_93;
const firstMixMultiplier = 0x85_EB_CA_6B;
const secondMixMultiplier = 0xC2_B2_AE_35;
const uint16Range = 2 ** 16;
const uint32Range = 2 ** 32;

/** Hashes a text to 32 bits, the same on every machine. */
export function hashText(text: string): number {
	let hash = offsetBasis;
	for (let index = 0; index < text.length; index++) {
		hash = Math.imul(hash + text.codePointAt(index)!, fnvPrime);
	}

	// Mixing spreads names that differ in their last character only.
	return toUnsigned(computeMix(computeMix(hash, firstMixMultiplier), secondMixMultiplier));
}

function computeMix(hash: number, multiplier: number): number {
	return Math.imul(hash + Math.floor(toUnsigned(hash) / uint16Range), multiplier);
}

function toUnsigned(hash: number): number {
	return ((hash % uint32Range) + uint32Range) % uint32Range;
}

/** Computes the rendezvous rank of `member` for `key`; the lowest rank is chosen. */
export function computeRank(key: string, member: string): number {
	return hashText(`${key}|${member}`);
}

/**
Sorts members by their rendezvous rank for `key`: everybody who knows the same members has the same order, and
a member that comes or goes moves no other.

@example
```
const [owner] = sortByRank('engine-1', ['vm-1', 'vm-2', 'vm-3']);
```
*/
export function sortByRank(key: string, members: readonly string[]): string[] {
	const ranks = new Map(members.map(member => [member, computeRank(key, member)]));
	return [...ranks.keys()].toSorted((left, right) => ranks.get(left)! - ranks.get(right)! || (left < right ? -1 : 1));
}

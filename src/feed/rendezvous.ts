/** Offset basis and prime of the 32-bit FNV hash. */
const offsetBasis = 0x81_1C_9D_C5;
const fnvPrime = 0x01_00_01_93;
/** Multipliers of the final mix of 32-bit MurmurHash3. */
const firstMixMultiplier = 0x85_EB_CA_6B;
const secondMixMultiplier = 0xC2_B2_AE_35;
const uint16Range = 2 ** 16;
const uint32Range = 2 ** 32;

/** Computes a hash of a text, an integer from 0 to 2^32 - 1 that is the same on every machine. */
export function hashText(text: string): number {
	let hash = offsetBasis;
	for (let index = 0; index < text.length; index++) {
		hash = Math.imul(hash + text.codePointAt(index)!, fnvPrime);
	}

	// Without the final mix, names that differ only in their last character get hashes close to each other.
	return toUnsigned(computeMix(computeMix(hash, firstMixMultiplier), secondMixMultiplier));
}

function computeMix(hash: number, multiplier: number): number {
	return Math.imul(hash + Math.floor(toUnsigned(hash) / uint16Range), multiplier);
}

function toUnsigned(hash: number): number {
	return ((hash % uint32Range) + uint32Range) % uint32Range;
}

/** Computes the rendezvous rank of `member` for `key`; the member with the lowest rank is chosen for the key. */
export function computeRank(key: string, member: string): number {
	return hashText(`${key}|${member}`);
}

/**
Sorts members by their rendezvous rank for `key`, without duplicates. Every entry that knows the same members gets the same
order, and adding or removing a member does not change the order of the others.

@example
```
const [owner] = sortByRank('engine-1', ['vm-1', 'vm-2', 'vm-3']);
```
*/
export function sortByRank(key: string, members: readonly string[]): string[] {
	const ranks = new Map(members.map(member => [member, computeRank(key, member)]));
	return [...ranks.keys()].toSorted((left, right) => ranks.get(left)! - ranks.get(right)! || (left < right ? -1 : 1));
}

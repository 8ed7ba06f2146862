/** A prime whose square is exact in a JavaScript number. */
const modulus = 67_108_859;
const multiplier = 48_271;
const mixRounds = 3;

/** Maximum result of `computeRendezvousScore`. */
export const maxRendezvousScore = modulus - 1;

/** Computes the score of a pair for rendezvous hashing, from 0 to `maxRendezvousScore`; it is the same in every process. */
export function computeRendezvousScore(left: string, right: string): number {
	let hash = 1;
	for (const character of `${left}\n${right}`) {
		hash = ((hash * multiplier) + (character.codePointAt(0) ?? 0)) % modulus;
	}

	// With a linear hash alone the names would rank in the same order under many keys; squaring prevents that.
	for (let round = 0; round < mixRounds; round++) {
		hash = ((hash * hash) + multiplier + round) % modulus;
	}

	return hash;
}

/** Selects the `count` owners of `key` among `names` by rendezvous hashing, in order of preference. */
export function selectOwners(key: string, names: readonly string[], count: number): string[] {
	return names
		.map(name => ({name, score: computeRendezvousScore(key, name)}))
		.toSorted((left, right) => right.score - left.score || (left.name < right.name ? -1 : 1))
		.slice(0, count)
		.map(({name}) => name);
}

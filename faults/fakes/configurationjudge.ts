import type {ConfigurationWorld} from './configurationworld.js';

/** Checks by the store's journal that each accepted configuration followed the version that its operator edited, and once. */
export function checkAccepted(world: ConfigurationWorld, bases: Readonly<Record<string, number>>): void {
	const seen = new Set<string>();
	for (const [index, {version, operation}] of world.listAccepted().entries()) {
		const base = bases[operation.replace('op-', '')];
		if (version !== index + 1 || base !== index || seen.has(operation)) {
			throw new RangeError(`${operation}, edited on version ${base}, was accepted as version ${version} after version ${index}`);
		}

		seen.add(operation);
	}

	for (const {operation, outcome} of world.told) {
		if (outcome === 'accepted' && !seen.has(operation)) {
			throw new RangeError(`${operation} was told accepted and is not in the store's journal`);
		}
	}
}

/** Checks that the highest accepted version is in force at every entry. */
export function checkEverywhere(world: ConfigurationWorld): void {
	const version = world.listAccepted().at(-1)?.version ?? 0;
	const behind = [...world.entries.values()].filter(entry => entry.keeper.getVersion() !== version);
	if (behind.length > 0) {
		throw new RangeError(`version ${version} is not in force at ${behind.map(entry => `${entry.vm} (${entry.keeper.getVersion()})`).join(', ')}`);
	}
}

/** Checks by each VM's journal that a version never went down, also over restarts. */
export function checkVersions(world: ConfigurationWorld): void {
	for (const [vm, versions] of world.versions) {
		if (versions.some((version, index) => index > 0 && version < versions[index - 1]!)) {
			throw new RangeError(`${vm} had the versions ${versions.join(', ')} in force`);
		}
	}
}

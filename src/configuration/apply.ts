import {
	compareDeployments, computeTextHash, formatDifferences, parseDeployment,
} from '../deployment/index.js';
import {
	BadRequestError, ConfigurationConflictError, StoreConflictError, StoreUncertainError,
} from '../errors/index.js';
import {callStep} from '../procedures/index.js';
import type {Procedure} from '../procedures/index.js';
import {absentRevision, storeKey} from '../store/index.js';
import type {Store, VersionedValue} from '../store/index.js';
import {createRecord, decodeRecord, findAccepted} from './record.js';
import type {ConfigurationRecord} from './record.js';

/** How often a write whose outcome is unknown or that met another one is settled and tried again. */
const maxTries = 3;

/** What an operator asks to apply. */
export type ApplyRequest = {
	readonly text: string;
	/** Version that the operator edited; 0 for the first. */
	readonly base: number;
	/** Chosen by the one who asks; asking again with the same id applies once. */
	readonly operation: string;
};

/** An accepted configuration. */
export type Applied = {
	readonly version: number;
	readonly text: string;
	readonly hash: string;
	/** Whether it had been accepted before this call. */
	readonly isRepeat: boolean;
};

/** What the procedure works with. */
export type ApplyOptions = {
	readonly store: Store;
	/** Highest version known here, so that versions rise even over a store that was put back. */
	readonly getVersion: () => number;
	/** Puts the accepted configuration into force here and on its way to the others. */
	readonly publish: (applied: Applied) => void;
	/** Mechanisms that the fault matrix takes out. */
	readonly without?: ReadonlySet<ApplyMechanism>;
};

/** Mechanisms that the procedure can be run without, to see a check fail. */
export type ApplyMechanism = 'compare-and-swap on base' | 'read-back';

/**
Applies a text: it is accepted once a compare-and-swap on the version that the operator edited has taken effect.
A lost answer is settled by reading back the operation's id. Throws `InvalidTextError`, `ConfigurationConflictError`
with the difference, `StoreUnavailableError` (not applied) and `StoreUncertainError` (ask again with the same id).

@example
```
const applied = await runProcedure(applyText({text, base: 3, operation: '7'}, options));
```
*/
export function * applyText(request: ApplyRequest, options: ApplyOptions): Procedure<Applied> {
	const hash = yield * callStep('parse and check', () => checkRequest(request));
	for (let count = 1; ; count++) {
		const found = yield * callStep('read the stored value', async () => options.store.read(storeKey.configuration));
		const known = found && decodeRecord(found.value);
		const repeated = findRepeat(known, request, hash);
		if (repeated) {
			return yield * publishApplied(repeated, options);
		}

		const version = checkBase(known, request, options);
		const record = createRecord(known, {
			version, text: request.text, hash, operation: request.operation,
		});
		try {
			yield * callStep('compare and swap', async () => writeRecord(found, record, options));
			return yield * publishApplied({...record, isRepeat: false}, options);
		} catch (error) {
			// After a conflict or a lost answer the record tells what took effect.
			if (count === maxTries || !isUnsettled(error) || options.without?.has('read-back')) {
				throw error;
			}
		}
	}
}

function * publishApplied(applied: Applied, options: ApplyOptions): Procedure<Applied> {
	const {version, text, hash, isRepeat} = applied;
	yield * callStep('publish', () => {
		options.publish({
			version, text, hash, isRepeat,
		});
	});
	return {
		version, text, hash, isRepeat,
	};
}

function checkRequest({text, operation}: ApplyRequest): string {
	if (operation === '') {
		throw new BadRequestError('an operation needs an id');
	}

	parseDeployment(text);
	return computeTextHash(text);
}

function findRepeat(known: ConfigurationRecord | undefined, request: ApplyRequest, hash: string): Applied | undefined {
	const accepted = findAccepted(known, request.operation);
	if (!accepted) {
		return undefined;
	}

	if (accepted.hash !== hash) {
		throw new BadRequestError(`operation ${request.operation} was accepted with another text, as version ${accepted.version}`);
	}

	return {
		version: accepted.version, text: request.text, hash, isRepeat: true,
	};
}

function checkBase(known: ConfigurationRecord | undefined, {base, text}: ApplyRequest, options: ApplyOptions): number {
	const version = known?.version ?? 0;
	if (version !== base && !options.without?.has('compare-and-swap on base')) {
		const difference = known ? formatDifferences(compareDeployments(parseDeployment(known.text), parseDeployment(text))) : '';
		throw new ConfigurationConflictError(`version ${version} is in the store, not ${base}`, {
			props: {
				version, base, text: known?.text ?? '', difference,
			},
		});
	}

	return Math.max(version, options.getVersion()) + 1;
}

async function writeRecord(found: VersionedValue | undefined, record: ConfigurationRecord, {store}: ApplyOptions): Promise<void> {
	await store.write(storeKey.configuration, JSON.stringify(record), found?.revision ?? absentRevision);
}

function isUnsettled(error: unknown): boolean {
	return error instanceof StoreConflictError || error instanceof StoreUncertainError;
}

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
import {createRecord, decodeRecord, findAcceptedOperation} from './record.js';
import type {ConfigurationRecord} from './record.js';

/** Maximum number of attempts when a write's outcome is unknown or it conflicts with another write. */
const maxAttempts = 3;

/** An operator's request to apply a configuration. */
export type ApplyRequest = {
	/** The configuration text, in TOML. */
	readonly text: string;
	/** Version that the operator edited; 0 for the first configuration. */
	readonly base: number;
	/** Id chosen by the operator; requests repeated with the same id are applied once. */
	readonly operation: string;
};

/** An accepted configuration. */
export type AppliedConfiguration = {
	readonly version: number;
	readonly text: string;
	readonly hash: string;
	/** Whether it was already accepted before this request. */
	readonly isRepeat: boolean;
};

/** What {@link applyConfiguration} needs. */
export type ApplyDependencies = {
	readonly store: Store;
	/** Returns the highest version known to this entry; keeps versions rising when the store was reset to an earlier state. */
	readonly getVersion: () => number;
	/** Puts the accepted configuration into force at this entry and broadcasts it to the others. */
	readonly publish: (applied: AppliedConfiguration) => void;
	/** Mechanisms to leave out; set only by the fault matrix. */
	readonly without?: ReadonlySet<ApplyMechanism>;
};

/** Mechanisms that the fault matrix leaves out, to show that a check then fails. */
export type ApplyMechanism = 'compare-and-swap on base' | 'read-back';

/**
Applies a configuration text. It is accepted once a compare-and-swap against the version that the operator edited has taken
effect. When the store's answer is lost, the record is read again and searched for the operation's id. Throws
`InvalidTextError`, `BadRequestError` when the id is empty or was used for another text, `ConfigurationConflictError` with
the difference to the stored configuration, `StoreUnavailableError` (not applied), and `StoreUncertainError` (unknown
whether it was applied: request it again with the same id).

@example
```
const applied = await runProcedure(applyConfiguration({text, base: 3, operation: '7'}, dependencies));
```
*/
export function * applyConfiguration(request: ApplyRequest, dependencies: ApplyDependencies): Procedure<AppliedConfiguration> {
	const hash = yield * callStep('parse and check', () => checkRequest(request));
	for (let attempt = 1; ; attempt++) {
		const storedValue = yield * callStep('read the stored value', async () => dependencies.store.read(storeKey.configuration));
		const stored = storedValue && decodeRecord(storedValue.value);
		const repeated = findEarlierResult(stored, request, hash);
		if (repeated) {
			return yield * publishApplied(repeated, dependencies);
		}

		const version = computeNextVersion(stored, request, dependencies);
		const record = createRecord(stored, {
			version, text: request.text, hash, operation: request.operation,
		});
		try {
			yield * callStep('compare and swap', async () => writeRecord(storedValue, record, dependencies));
			return yield * publishApplied({...record, isRepeat: false}, dependencies);
		} catch (error) {
			// After a conflict or a lost answer, the next attempt reads from the record which write took effect.
			if (attempt === maxAttempts || !isRetryable(error) || dependencies.without?.has('read-back')) {
				throw error;
			}
		}
	}
}

function * publishApplied(applied: AppliedConfiguration, dependencies: ApplyDependencies): Procedure<AppliedConfiguration> {
	const {version, text, hash, isRepeat} = applied;
	yield * callStep('publish', () => {
		dependencies.publish({
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

function findEarlierResult(stored: ConfigurationRecord | undefined, request: ApplyRequest, hash: string): AppliedConfiguration | undefined {
	const accepted = findAcceptedOperation(stored, request.operation);
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

function computeNextVersion(stored: ConfigurationRecord | undefined, {base, text}: ApplyRequest, dependencies: ApplyDependencies): number {
	const version = stored?.version ?? 0;
	if (version !== base && !dependencies.without?.has('compare-and-swap on base')) {
		const difference = stored ? formatDifferences(compareDeployments(parseDeployment(stored.text), parseDeployment(text))) : '';
		throw new ConfigurationConflictError(`version ${version} is in the store, not ${base}`, {
			props: {
				version, base, text: stored?.text ?? '', difference,
			},
		});
	}

	return Math.max(version, dependencies.getVersion()) + 1;
}

async function writeRecord(storedValue: VersionedValue | undefined, record: ConfigurationRecord, {store}: ApplyDependencies): Promise<void> {
	await store.write(storeKey.configuration, JSON.stringify(record), storedValue?.revision ?? absentRevision);
}

function isRetryable(error: unknown): boolean {
	return error instanceof StoreConflictError || error instanceof StoreUncertainError;
}

import type {EngineRole} from '../deployment/index.js';

/** A planned change of an engine's role; `reason` tells operators why. */
export type RoleChange = {
	readonly upstream: string;
	readonly role: EngineRole;
	readonly reason: string;
};

/** Plans which engine of this failure domain changes its role next. */
export abstract class RolePlanner {
	/** Returns the next change if one is worth its cost now, otherwise `undefined`. Not called while an earlier change is in progress. */
	abstract planChange(): RoleChange | undefined;
}

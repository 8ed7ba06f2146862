import type {EngineRole} from '../deployment/index.js';

/** One wanted change of role, with its reason for `explain`. */
export type RoleChange = {
	readonly upstream: string;
	readonly role: EngineRole;
	readonly reason: string;
};

/** Decides which engine of this failure domain should change its role next. */
export abstract class RolePlanner {
	/** Plans the next change, if one is worth its cost now; called again once it has ended. */
	abstract planChange(): RoleChange | undefined;
}

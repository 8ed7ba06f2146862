/** What operators can ask for, besides editing the text. */
export const operationKind = {
	/** No new work for an upstream; its requests end. */
	drain: 'drain',
	/** Take a drained upstream into use again. */
	resume: 'resume',
	/** Put another upstream of the text in the place of this one, then withdraw this one. */
	replace: 'replace',
	/** Take an upstream out for good. */
	withdraw: 'withdraw',
	/** The operator vouches that a VM's process is stopped and will never send again. */
	confirmStopped: 'confirm_stopped',
} as const;

/** See {@link operationKind}. */
export type OperationKind = (typeof operationKind)[keyof typeof operationKind];

/** How far an operation is. */
export const operationState = {
	asked: 'asked',
	running: 'running',
	/** Waits for what `detail` says; nothing is forced. */
	waiting: 'waiting',
	done: 'done',
	refused: 'refused',
} as const;

/** See {@link operationState}. */
export type OperationState = (typeof operationState)[keyof typeof operationState];

/** An operation as it stands in the store. */
export type Operation = {
	/** Chosen by the one who asks; asking again with the same id asks once. */
	readonly id: string;
	readonly kind: OperationKind;
	/** Id of the upstream, or the VM for `confirm_stopped`. */
	readonly subject: string;
	/** For `replace`: id of the upstream that takes the place. */
	readonly replacement?: string;
	/** Wall clock, in milliseconds since the epoch. */
	readonly askedAt: number;
	readonly state: OperationState;
	/** What it waits for, or why it was refused. */
	readonly detail: string;
};

/** What the one who asks says of an operation. */
export type OperationRequest = Omit<Operation, 'state' | 'detail'>;

/** How an operation goes on. */
export type OperationProgress = Pick<Operation, 'state' | 'detail'>;

/** The operations of a failure domain as the store has them. */
export type OperationRecord = {
	/** Latest `askedAt` of the operations that were dropped. */
	readonly forgottenAt: number;
	/** Id of the last write; settles a lost answer. */
	readonly write: string;
	/** Oldest first. */
	readonly operations: readonly Operation[];
};

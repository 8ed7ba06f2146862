/** Operations that operators can request, besides editing the configuration. */
export const operationKind = {
	/** Send an upstream no new requests; those in progress run to their end. */
	drain: 'drain',
	/** Put a drained upstream back into service. */
	resume: 'resume',
	/** Put another upstream of the configuration into service in place of this one, then withdraw this one. */
	replace: 'replace',
	/** Take an upstream out of service for good. */
	withdraw: 'withdraw',
	/** Accept the operator's confirmation that the process of a VM is stopped and will never send again. */
	confirmStopped: 'confirm_stopped',
} as const;

/** See {@link operationKind}. */
export type OperationKind = (typeof operationKind)[keyof typeof operationKind];

/** States of an operation; `done` and `refused` are final. */
export const operationState = {
	/** Requested, but not begun. */
	asked: 'asked',
	running: 'running',
	/** Waits for what `detail` says; nothing is forced. */
	waiting: 'waiting',
	done: 'done',
	/** Not carried out, or given up for a later operation; `detail` says why. */
	refused: 'refused',
} as const;

/** See {@link operationState}. */
export type OperationState = (typeof operationState)[keyof typeof operationState];

/** An operation as stored. */
export type Operation = {
	/** Chosen by the operator or the program that requests it; a request repeated with the same id has no further effect. */
	readonly id: string;
	readonly kind: OperationKind;
	/** Id of the upstream; name of the VM for `confirm_stopped`. */
	readonly subject: string;
	/** For `replace`: id of the upstream that takes the place of `subject`. */
	readonly replacement?: string;
	/** Time of the request by the wall clock, in milliseconds since the Unix epoch. */
	readonly askedAt: number;
	readonly state: OperationState;
	/** Details of `state` for operators, such as what the operation waits for or why it was refused. */
	readonly detail: string;
};

/** An operation as it is requested. */
export type OperationRequest = Omit<Operation, 'state' | 'detail'>;

/** The part of an operation that changes while it is carried out. */
export type OperationProgress = Pick<Operation, 'state' | 'detail'>;

/** The stored operations of a failure domain. */
export type OperationRecord = {
	/** Latest `askedAt` of the operations that have been removed from the record. */
	readonly forgottenAt: number;
	/** Id of the last write; shows whether a write whose answer was lost took effect. */
	readonly write: string;
	/** Oldest first. */
	readonly operations: readonly Operation[];
};

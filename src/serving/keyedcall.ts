import {Buffer} from 'node:buffer';
import {
	KeyPendingError, NotRunError, refusalReason, UnknownOutcomeError,
} from '../errors/index.js';
import {claimResult} from '../claims/index.js';
import type {
	Claim, ClaimAnswer, ClaimCall, DecidedClaim, ClaimOutcome,
} from '../claims/index.js';
import {callStep} from '../procedures/index.js';
import type {Procedure} from '../procedures/index.js';
import {callOutcome, createFailedOutcome, serveOnce} from './call.js';
import type {CallJob, CallOutcome, CallDependencies} from './call.js';
import type {WholeAnswer} from './wholeanswer.js';

/** Largest body of an answer that is stored for repeats of the call, in bytes. */
const maxStoredBodyBytes = 512;
const contentType = 'content-type';

/** Claims on idempotency keys, as far as keyed calls need them. */
export type ClaimPort = {
	readonly take: (call: ClaimCall) => Promise<DecidedClaim>;
	readonly settle: (claim: Claim, end: ClaimOutcome) => Promise<void>;
};

/** Dependencies for serving a keyed call. */
export type KeyedCallDependencies = CallDependencies & {readonly claims: ClaimPort};

/** A call with an idempotency key. */
export type KeyedCallJob = CallJob & {readonly caller: string; readonly key: string};

/**
Serves a call that may not be repeated and has an idempotency key. The key is claimed in the store before the call is
sent, so that a repeat through any entry gets the same answer and never runs the call again. Throws `KeyPendingError`
while another call with the key is in progress.
*/
export function * serveKeyed(job: KeyedCallJob, dependencies: KeyedCallDependencies): Procedure<CallOutcome> {
	let claimed: DecidedClaim;
	try {
		claimed = yield * callStep('claim the key', async () => dependencies.claims.take(createClaimCall(job, dependencies)));
	} catch (error) {
		return createFailedOutcome(error);
	}

	const {decision, claim} = claimed;
	if (decision.result !== claimResult.taken) {
		return createRepeatOutcome(decision);
	}

	const outcome = yield * serveOnce(job, dependencies, () => {
		checkClaimDeadline(claim, dependencies);
	});
	yield * callStep('settle the claim', async () => dependencies.claims.settle(claim, createClaimEnd(outcome)));
	return outcome;
}

/**
Throws `NotRunError` when the claim's deadline has passed. The wall clock decides, since it goes on while the VM is
suspended: a call that was reported as unknown in that time must not be sent any more.
*/
function checkClaimDeadline(claim: Claim, {timers}: KeyedCallDependencies): void {
	if (timers.getWallTime() >= claim.due) {
		throw new NotRunError('the claim\'s deadline has passed', {props: {reason: refusalReason.deadline}});
	}
}

function createClaimCall({service, caller, key, call, deadlineAt}: KeyedCallJob, {timers}: KeyedCallDependencies): ClaimCall {
	return {
		service, caller, key, content: [call.method, call.path, call.body], deadlineMs: Math.max(0, deadlineAt - timers.getNow()),
	};
}

function createRepeatOutcome(decision: Exclude<DecidedClaim['decision'], {readonly result: 'taken'}>): CallOutcome {
	if (decision.result === claimResult.pending) {
		throw new KeyPendingError('a call with this key is in progress', {props: {retryAfterMs: decision.retryAfterMs}});
	}

	if (decision.result === claimResult.done) {
		return createStoredOutcome(decision.answer);
	}

	if (decision.result === claimResult.unknown) {
		return {kind: callOutcome.unknown, error: new UnknownOutcomeError('nobody can tell whether the call with this key ran')};
	}

	const reason = decision.result === claimResult.full ? refusalReason.keyTableFull : refusalReason.keyConflict;
	const message = decision.result === claimResult.full ? 'the table of keys is full' : 'the key was used for another call';
	return {kind: callOutcome.notRun, error: new NotRunError(message, {props: {reason}})};
}

function createStoredOutcome(answer: ClaimAnswer | undefined): CallOutcome {
	const body = answer?.body === undefined ? undefined : Buffer.from(answer.body, 'base64');
	return {
		kind: callOutcome.done,
		answer: {status: answer?.status ?? 200, headers: {...(answer ? {[contentType]: answer.type} : {}), 'x-crocus-repeat': body ? 'same' : 'body not kept'}, body: body ?? Buffer.alloc(0)},
	};
}

function createClaimEnd(outcome: CallOutcome): ClaimOutcome {
	return outcome.kind === callOutcome.done ? {state: 'done', answer: createClaimAnswer(outcome.answer)} : {state: outcome.kind};
}

function createClaimAnswer({status, headers, body}: WholeAnswer): ClaimAnswer {
	return {
		status,
		type: headers[contentType] ?? 'application/octet-stream',
		...(body.length <= maxStoredBodyBytes ? {body: Buffer.from(body).toString('base64')} : {}),
	};
}

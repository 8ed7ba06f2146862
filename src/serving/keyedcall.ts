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
import {callOutcome, createOutcome, serveOnce} from './call.js';
import type {CallJob, CallOutcome, CallParts} from './call.js';
import type {WholeAnswer} from './wholeanswer.js';

/** Largest answer that is kept for repeats, in bytes. */
const maxKeptBytes = 512;
const contentType = 'content-type';

/** The claims that a keyed call needs. */
export type ClaimPort = {
	readonly take: (call: ClaimCall) => Promise<DecidedClaim>;
	readonly settle: (claim: Claim, end: ClaimOutcome) => Promise<void>;
};

/** What serving a keyed call needs. */
export type KeyedParts = CallParts & {readonly claims: ClaimPort};

/** A call with an idempotency key. */
export type KeyedJob = CallJob & {readonly caller: string; readonly key: string};

/**
Serves a call that may not be repeated and has an idempotency key: its claim is in the store before it is sent, so
that a repeat through any entry gets the same answer and never runs it again. Throws `KeyPendingError` while the
first one is in progress.
*/
export function * serveKeyed(job: KeyedJob, parts: KeyedParts): Procedure<CallOutcome> {
	let claimed: DecidedClaim;
	try {
		claimed = yield * callStep('claim the key', async () => parts.claims.take(createClaimCall(job, parts)));
	} catch (error) {
		return createOutcome(error);
	}

	const {decision, claim} = claimed;
	if (decision.result !== claimResult.taken) {
		return createRepeated(decision);
	}

	const outcome = yield * serveOnce(job, parts, () => {
		checkClaim(claim, parts);
	});
	yield * callStep('settle the claim', async () => parts.claims.settle(claim, createEnd(outcome)));
	return outcome;
}

/** The wall clock goes on while the VM is suspended: what was reported as unknown meanwhile is not sent any more. */
function checkClaim(claim: Claim, {timers}: KeyedParts): void {
	if (timers.getWallTime() >= claim.due) {
		throw new NotRunError('the claim\'s deadline has passed', {props: {reason: refusalReason.deadline}});
	}
}

function createClaimCall({service, caller, key, call, due}: KeyedJob, {timers}: KeyedParts): ClaimCall {
	return {
		service, caller, key, content: [call.method, call.path, call.body], deadlineMs: Math.max(0, due - timers.getNow()),
	};
}

function createRepeated(decision: Exclude<DecidedClaim['decision'], {readonly result: 'taken'}>): CallOutcome {
	if (decision.result === claimResult.pending) {
		throw new KeyPendingError('a call with this key is in progress', {props: {retryAfterMs: decision.retryAfterMs}});
	}

	if (decision.result === claimResult.done) {
		return createKept(decision.answer);
	}

	if (decision.result === claimResult.unknown) {
		return {kind: callOutcome.unknown, error: new UnknownOutcomeError('nobody can tell whether the call with this key ran')};
	}

	const reason = decision.result === claimResult.full ? refusalReason.keyTableFull : refusalReason.keyConflict;
	const message = decision.result === claimResult.full ? 'the table of keys is full' : 'the key was used for another call';
	return {kind: callOutcome.notRun, error: new NotRunError(message, {props: {reason}})};
}

function createKept(answer: ClaimAnswer | undefined): CallOutcome {
	const body = answer?.body === undefined ? undefined : Buffer.from(answer.body, 'base64');
	return {
		kind: callOutcome.done,
		answer: {status: answer?.status ?? 200, headers: {...(answer ? {[contentType]: answer.type} : {}), 'x-crocus-repeat': body ? 'same' : 'body not kept'}, body: body ?? Buffer.alloc(0)},
	};
}

function createEnd(outcome: CallOutcome): ClaimOutcome {
	return outcome.kind === callOutcome.done ? {state: 'done', answer: createClaimAnswer(outcome.answer)} : {state: outcome.kind};
}

function createClaimAnswer({status, headers, body}: WholeAnswer): ClaimAnswer {
	return {
		status,
		type: headers[contentType] ?? 'application/octet-stream',
		...(body.length <= maxKeptBytes ? {body: Buffer.from(body).toString('base64')} : {}),
	};
}

import {header} from '../platform/wire.js';
import {callerDeadlineMs, callKinds} from './callers.js';
import type {ObservedCall} from './callers.js';
import type {SoakFault} from './faults.js';
import {configurationApplyMs, stopTimeoutMs} from './vm.js';
import type {Incarnation, SoakVm} from './vm.js';
import type {SoakWorld} from './world.js';

/** How late an answer may be beyond its caller's time, in milliseconds: processes share a busy machine. */
const maxLatenessMs = 1000;
/** What is sent in the last moment of a stopped process may go unread, in milliseconds: the least `loss_slack_ms` of a site. */
const stopLossMs = 200;
/** Time to be heard again after a cut, a pause or a start, in milliseconds: a call's timeout and the next one. */
const storeCatchUpMs = 3000;
/** Time for the runtime to begin on a busy machine, in milliseconds: a signal before the program's first line ends any process. */
const runtimeStartMs = 1000;
/** Further sends allowed for each request and beside them, over a window: the sites' ratio, and their slack for each entry. */
const furtherSendRatio = 0.2;
const furtherSendsPerEntry = 30;
const furtherSendWindowMs = 10_000;
/** Part of the requests that is answered well once the faults are over and everything has settled. */
const minRecoveredShare = 0.98;
const streamEvents = 4;
/** Engines that may run a probe: its route is that of a request that may run again. */
const maxProbeRuns = 2;
const notRunStatuses = new Set([408, 421, 429, 503]);

/** A fault that was started; times are monotonic, in milliseconds. */
export type StartedFault = {readonly fault: SoakFault; readonly startedAt: number; endedAt: number};

/** Checks the promises while a run goes on, by what callers, engines and processes saw. */
export class InvariantChecker {
	readonly violations: string[] = [];
	readonly calls: ObservedCall[] = [];
	readonly faults: StartedFault[] = [];
	/** Start of the faults; times in what is reported count from it, in milliseconds. */
	startedAt = 0;
	readonly #world: SoakWorld;
	/** Calls whose ending was not checked yet: how a process ended is told a moment after its connections have closed. */
	#uncheckedCalls: ObservedCall[] = [];

	constructor(world: SoakWorld) {
		this.#world = world;
	}

	/** Takes in a call that has ended. */
	onCall(call: ObservedCall): void {
		this.calls.push(call);
		this.#uncheckedCalls.push(call);
		this.#checkAnswer(call);
		if (call.status === 404) {
			this.#addViolation(call, 'CONFIG: a route of every version was not found');
		}
	}

	/** Takes in a call of the route that only one version of the configuration has. */
	onProbe(version: number, call: ObservedCall): void {
		this.calls.push(call);
		this.#uncheckedCalls.push(call);
		this.#checkAnswer(call);
		const {incarnation, vm, sentAt} = call;
		const latest = this.#world.versions.findLast(({writtenAt}) => writtenAt < sentAt)!;
		if (call.hasReceipt) {
			if (version < incarnation.highestSeenVersion) {
				this.#addViolation(call, `CONFIG: version ${version} in force after ${incarnation.highestSeenVersion}`);
			}

			incarnation.highestSeenVersion = Math.max(incarnation.highestSeenVersion, version);
		}

		const isOutdated = call.hasReceipt ? version < latest.version : call.status === 404 && version === latest.version;
		const connectedAt = Math.max(incarnation.startedAt, this.#findStoreCutEnd(vm)) + storeCatchUpMs;
		if (isOutdated && sentAt > Math.max(connectedAt, latest.writtenAt) + configurationApplyMs) {
			this.#addViolation(call, `CONFIG: version ${latest.version}, written ${Math.round(sentAt - latest.writtenAt)} ms before, is not in force`);
		}
	}

	/** Takes in the end of a process. */
	onExit(vm: SoakVm, incarnation: Incarnation): void {
		if (incarnation.sigkillAt !== undefined) {
			return;
		}

		const firstSignalAt = Math.min(incarnation.sigtermAt ?? Number.POSITIVE_INFINITY, incarnation.sighupAt ?? Number.POSITIVE_INFINITY);
		if (firstSignalAt - incarnation.startedAt - vm.measurePausedMs(incarnation.startedAt, firstSignalAt) < runtimeStartMs) {
			return;
		}

		const tookMs = incarnation.exitedAt! - (incarnation.sigtermAt ?? Number.NaN);
		if (incarnation.sigtermAt === undefined || incarnation.exitCode !== 0) {
			this.violations.push(`EXIT: ${vm.name} ended by itself or badly, code ${incarnation.exitCode}`);
		} else if (tookMs > stopTimeoutMs && !vm.hasPauseBetween(incarnation.sigtermAt, incarnation.exitedAt!)) {
			this.violations.push(`EXIT: ${vm.name} took ${Math.round(tookMs)} ms to stop`);
		}
	}

	/** Checks how calls ended that ended before a time, in milliseconds. */
	checkEndings(before: number): void {
		for (const call of this.#uncheckedCalls.filter(({endedAt}) => endedAt < before)) {
			this.#checkEnding(call);
		}

		this.#uncheckedCalls = this.#uncheckedCalls.filter(({endedAt}) => endedAt >= before);
	}

	/** Checks what can be told only when all is over. */
	checkFinal(): void {
		this.checkEndings(Number.POSITIVE_INFINITY);
		const ran = new Set(this.#world.listArrivals().filter(({hasRun}) => hasRun).map(({id}) => id));
		for (const call of this.calls) {
			if (notRunStatuses.has(call.status) && ran.has(call.id)) {
				this.#addViolation(call, `UNTRUE: status ${call.status} of a request that ran`);
			}
		}

		this.#checkRuns();
		this.#checkFurtherSends();
		for (const vm of this.#world.vms) {
			if (vm.stderr !== '') {
				this.violations.push(`STDERR: ${vm.name}: ${vm.stderr.slice(0, 400)}`);
			}
		}
	}

	/** Checks that requests sent since `from` were answered well. */
	checkRecovered(from: number): void {
		const sent = this.calls.filter(call => call.sentAt >= from && callKinds.some(({path}) => path === call.path));
		const bad = sent.filter(call => !call.isComplete || call.status !== 200);
		if (sent.length === 0 || bad.length > sent.length * (1 - minRecoveredShare)) {
			const detail = bad.slice(0, 5).map(({vm, path, status, error}) => `${vm.name}${path} ${status} ${error}`).join('; ');
			this.violations.push(`RECOVER: ${bad.length} of ${sent.length} failed after the faults: ${detail}`);
		}
	}

	#checkAnswer(call: ObservedCall): void {
		const {isComplete, status, hasReceipt, body} = call;
		if (status === 200 && !hasReceipt) {
			this.#addViolation(call, 'MIXED: a success without a receipt');
		}

		if (isComplete && hasReceipt && status !== 204 && body !== createBody(call)) {
			this.#addViolation(call, `MIXED: status ${status}, a whole answer with the body ${JSON.stringify(body.slice(0, 80))}`);
		}
	}

	#checkEnding(call: ObservedCall): void {
		const {incarnation, vm, sentAt, endedAt, status, error} = call;
		if (vm.hasPauseBetween(sentAt - stopLossMs, endedAt + stopLossMs) || (incarnation.sigkillAt !== undefined && incarnation.sigkillAt <= endedAt + stopLossMs)) {
			return;
		}

		const isSentAtExit = incarnation.exitedAt !== undefined && sentAt > incarnation.exitedAt - stopLossMs;
		if (status === 0 && error !== 'ECONNREFUSED' && !isSentAtExit) {
			this.#addViolation(call, `LOST: no answer, ${error}`);
		} else if (endedAt - sentAt > callerDeadlineMs + maxLatenessMs) {
			this.#addViolation(call, `LATE: ended after ${Math.round(endedAt - sentAt)} ms`);
		}
	}

	/** Checks that no request ran more often than it may; engines keep every arrival, so that the end tells all. */
	#checkRuns(): void {
		const runs = new Map<string, number>();
		for (const {id, path} of this.#world.listArrivals().filter(({hasRun}) => hasRun)) {
			const count = (runs.get(id) ?? 0) + 1;
			runs.set(id, count);
			if (count > (callKinds.find(kind => path.startsWith(kind.path))?.maxRuns ?? maxProbeRuns)) {
				this.violations.push(`TWICE: ${path} ran ${count} times`);
			}
		}
	}

	#checkFurtherSends(): void {
		const seen = new Set<string>();
		const furtherSendTimes: number[] = [];
		for (const {id, at, headers} of this.#world.listArrivals().filter(({headers}) => headers[header.stage.toLowerCase()] === undefined).sort((left, right) => left.at - right.at)) {
			if (seen.has(id) && headers[header.requestId.toLowerCase()] !== undefined) {
				furtherSendTimes.push(at);
			}

			seen.add(id);
		}

		for (const end of furtherSendTimes) {
			const isInWindow = (at: number) => at > end - furtherSendWindowMs && at <= end;
			const allowed = (this.calls.filter(({sentAt}) => isInWindow(sentAt)).length * furtherSendRatio) + (furtherSendsPerEntry * this.#world.vms.length);
			const furtherSends = furtherSendTimes.filter(at => isInWindow(at)).length;
			if (furtherSends > allowed) {
				this.violations.push(`BUDGET: ${furtherSends} further sends in a window, ${Math.round(allowed)} allowed`);
				return;
			}
		}
	}

	/** Finds when a VM was last cut from the store. */
	#findStoreCutEnd(vm: SoakVm): number {
		return Math.max(...this.faults.filter(({fault}) => fault.isCuttingStore(vm)).map(({endedAt}) => endedAt), Number.NEGATIVE_INFINITY);
	}

	#addViolation(call: ObservedCall, problem: string): void {
		this.violations.push(`${problem} (${call.vm.name} ${call.path}${call.id}, ${Math.round(call.sentAt - this.startedAt)} to ${Math.round(call.endedAt - this.startedAt)} ms)`);
	}
}

/** The whole answer that engines give to a call. */
function createBody({id, isStream}: ObservedCall): string {
	return isStream
		? Array.from({length: streamEvents}, (_, index) => `id: ${index + 1}\ndata: piece ${index + 1} of ${id}\n\n`).join('')
		: `answer to ${id}`;
}

import {header} from '../platform/wire.js';
import {refusalReason} from '../src/errors/index.js';
import {engineFault, findLimitBreach, listBlocks} from '../standins/fleet/index.js';
import type {Arrival, EngineFault, FleetEngine} from '../standins/fleet/index.js';
import {callKinds} from './callers.js';
import type {ObservedCall} from './callers.js';
import type {SoakFault} from './faults.js';
import {configurationApplyMs, stopTimeoutMs} from './vm.js';
import type {Incarnation, SoakVm} from './vm.js';
import {crashingBlock} from './world.js';
import type {SoakWorld} from './world.js';

/** Time by which an answer may miss its caller's deadline, in milliseconds; the processes share a busy machine. */
const maxLatenessMs = 1000;
/** Time before a process's exit in which requests that are sent to it may be lost, in milliseconds; the smallest `loss_slack_ms` of any site. */
const stopLossMs = 200;
/** Limit of further sends (retries and hedges) within a window: a share of the requests, plus a constant for each entry; both as the sites set them. */
const furtherSendRatio = 0.2;
const furtherSendsPerEntry = 30;
const furtherSendWindowMs = 10_000;
/** Share of requests that have to succeed after the recovery, 0 to 1. */
const minRecoveredShare = 0.98;
/** Events of a complete streamed answer. */
const streamEvents = 4;
/** Longest time for which two engines may work on one stream, in milliseconds. */
const maxOverlapMs = 400;
/** Number of engines that may run a probe; its route is for requests that may be repeated. */
const maxProbeRuns = 2;
/** Statuses that promise that no engine ran the request. */
const notRunStatuses = new Set([408, 421, 429, 503]);

/** Statuses with which an entry ends a request that may have run. */
const brokenOffStatuses = new Set([502, 504]);
/** Faults with which an engine breaks off, or gives what may not be passed on; a silence, a pause and a refusal are none of them. A prefill meets the first only. */
const breakingPrefillFaults: readonly EngineFault[] = ['reset', 'endlessHead', 'endlessInformation', 'endlessBody', 'endlessTrailer'];
const breakingFaults: readonly EngineFault[] = [
	...breakingPrefillFaults, 'foreign', 'cutBody', 'failure', 'noReceipt', 'cutEvent', 'answerTwice', 'resetUnframed', 'closeInEvent', 'endInEvent', 'switchProtocols', 'continueAndSwitch', 'busyAfterRun', 'limitAfterRun', 'timeoutAfterRun', 'notRunZero', 'closeAfterHead', 'endBeforeEvents',
];
/** Time of a stop, in milliseconds from SIGTERM, from which requests may be cut that were sent no later than {@link maxSentInStopMs} after it: the last sixth. */
const cutInStopMs = stopTimeoutMs * 5 / 6;
const maxSentInStopMs = 3000;

/** Time after an answer which says that its engine leaves in which requests may still be sent to it, in milliseconds; the `drain_ms` of the sites. */
const leavingMs = 2000;
/** Time after a 503 with a time to come back in which requests may still arrive, in milliseconds, and how many may arrive later. */
const pauseGraceMs = 500;
const maxArrivalsInPause = 2;

/** Time without disruption after which a VM is held to all bounds, in milliseconds; the `contact_ms` of the sites. */
const contactMs = 3000;
/** Number of crashes on one block after which entries must refuse it once they have had time to learn of it, and the requests that may still arrive after that. */
const maxCrashes = 5;
const maxArrivalsAfterCrashes = 3;

/** Time after an answer that named a limit from which requests of its VM count, in milliseconds. */
const toldMs = 500;

/** An injected fault; times are monotonic, in milliseconds; `endedAt` is infinite while it lasts. */
export type StartedFault = {readonly fault: SoakFault; readonly startedAt: number; endedAt: number};

/** Checks the guarantees of the entries during and after a run, from what callers, engines and processes observed; collects violations. */
export class InvariantChecker {
	readonly violations: string[] = [];
	readonly calls: ObservedCall[] = [];
	readonly faults: StartedFault[] = [];
	/** Monotonic time at which faults began, in milliseconds; times in violations are relative to it. */
	startedAt = 0;
	/** Times at which this process itself was held up, monotonic, in milliseconds. */
	readonly ownStalls: Array<{readonly from: number; readonly to: number}> = [];
	readonly #world: SoakWorld;
	/** Ended calls whose ending is still to be checked: a process's exit becomes known only some time after its connections have closed. */
	#uncheckedCalls: ObservedCall[] = [];

	constructor(world: SoakWorld) {
		this.#world = world;
	}

	/** Handles a call that has ended. */
	onCall(call: ObservedCall): void {
		this.calls.push(call);
		this.#uncheckedCalls.push(call);
		this.#checkAnswer(call);
		if (call.status === 404) {
			this.#addViolation(call, 'CONFIG: status 404 for a route that every version of the configuration has');
		}
	}

	/** Handles an ended call to the route that only `version` of the configuration has. */
	onProbe(version: number, call: ObservedCall): void {
		this.calls.push(call);
		this.#uncheckedCalls.push(call);
		this.#checkAnswer(call);
		const {incarnation, vm, sentAt} = call;
		const latest = this.#world.versions.findLast(({writtenAt}) => writtenAt < sentAt)!;
		if (call.hasReceipt) {
			if (version < incarnation.highestSeenVersion) {
				this.#addViolation(call, `CONFIG: version ${version} of the configuration in force after version ${incarnation.highestSeenVersion}`);
			}

			incarnation.highestSeenVersion = Math.max(incarnation.highestSeenVersion, version);
		}

		const isOutdated = call.hasReceipt ? version < latest.version : call.status === 404 && version === latest.version;
		const inTouchAt = Math.max(incarnation.startedAt, this.#findStoreCutEnd(vm)) + contactMs;
		if (isOutdated && sentAt > Math.max(inTouchAt, latest.writtenAt + configurationApplyMs)) {
			this.#addViolation(call, `CONFIG: version ${latest.version} of the configuration, written ${Math.round(sentAt - latest.writtenAt)} ms before, is not in force`);
		}
	}

	/** Handles the exit of an entry's process. */
	onExit(vm: SoakVm, incarnation: Incarnation): void {
		if (incarnation.sigkillAt !== undefined) {
			return;
		}

		const firstSignalAt = Math.min(incarnation.sigtermAt ?? Number.POSITIVE_INFINITY, incarnation.sighupAt ?? Number.POSITIVE_INFINITY);
		if (incarnation.loggedAt === undefined || firstSignalAt < incarnation.loggedAt) {
			// A signal before the program's first line ends any process.
			return;
		}

		const tookMs = incarnation.exitedAt! - (incarnation.sigtermAt ?? Number.NaN);
		if (incarnation.sigtermAt === undefined || incarnation.exitCode !== 0) {
			this.violations.push(`EXIT: ${vm.name} exited without SIGTERM or with an error, code ${incarnation.exitCode}; first signal ${Math.round(firstSignalAt - incarnation.startedAt)} ms and exit ${Math.round(incarnation.exitedAt! - incarnation.startedAt)} ms after its start, first log line ${Math.round(incarnation.loggedAt - incarnation.startedAt)} ms`);
		} else if (tookMs > stopTimeoutMs && !vm.hasPauseBetween(incarnation.sigtermAt, incarnation.exitedAt!)) {
			this.violations.push(`EXIT: ${vm.name} took ${Math.round(tookMs)} ms to stop after SIGTERM, ${stopTimeoutMs} ms allowed`);
		}
	}

	/**
	Checks the calls that ended before a monotonic time, in milliseconds: none may be late, or lost without an answer. A call without an answer
	from a process that is stopping is checked once its exit is known.
	*/
	checkEndings(before: number): void {
		const isDue = ({endedAt, status, incarnation}: ObservedCall) => endedAt < before
			&& (status !== 0 || incarnation.sigtermAt === undefined || incarnation.exitedAt !== undefined || before === Number.POSITIVE_INFINITY);
		for (const call of this.#uncheckedCalls.filter(call => isDue(call))) {
			this.#checkEnding(call);
		}

		this.#uncheckedCalls = this.#uncheckedCalls.filter(call => !isDue(call));
	}

	/** Checks the guarantees that need the observations of the whole run; to be called once, when it is over. */
	checkFinal(): void {
		this.checkEndings(Number.POSITIVE_INFINITY);
		this.#checkBrokenOff();
		const ran = new Set(this.#world.listArrivals().filter(({hasRun}) => hasRun).map(({id}) => id));
		for (const call of this.calls) {
			if (notRunStatuses.has(call.status) && ran.has(call.id)) {
				this.#addViolation(call, `UNTRUE: status ${call.status} says that no engine ran the request, but one did`);
			}
		}

		this.#checkRuns();
		this.#checkOverlaps();
		this.#checkFurtherSends();
		this.#checkWishes();
		this.#checkDepartures();
		this.#checkCrashing();
		this.#checkLimits();
		for (const vm of this.#world.vms) {
			if (vm.stderr !== '') {
				this.violations.push(`STDERR: ${vm.name}: ${vm.stderr.slice(0, 400)}`);
			}
		}
	}

	/** Checks that requests sent since the monotonic time `from` succeeded, but for a small share. */
	checkRecovered(from: number): void {
		const sent = this.calls.filter(call => call.sentAt >= from && callKinds.some(({path}) => path === call.path));
		const bad = sent.filter(call => !call.isComplete || call.status !== 200);
		if (sent.length === 0 || bad.length > sent.length * (1 - minRecoveredShare)) {
			const detail = bad.slice(0, 5).map(({vm, path, status, error, body}) => `${vm.name}${path} ${status} ${status === 200 ? '' : body.slice(0, 60)} ${error}`).join('; ');
			const quarantines = bad.some(({body}) => body.includes(refusalReason.quarantined)) ? this.#world.vms.flatMap(({quarantineLines}) => quarantineLines).join('\n') : '';
			this.violations.push(`RECOVER: ${bad.length} of ${sent.length} requests failed after the recovery: ${detail} ${quarantines}`.trimEnd());
		}
	}

	/** Checks that an answer comes from an engine and has the body that engines give to this call. */
	#checkAnswer(call: ObservedCall): void {
		const {isComplete, status, hasReceipt, body} = call;
		if (status === 200 && !hasReceipt) {
			this.#addViolation(call, 'MIXED: status 200 without an engine\'s receipt');
		}

		if (isComplete && hasReceipt && status !== 204 && body !== createBody(call)) {
			this.#addViolation(call, `MIXED: status ${status}, complete answer with an unexpected body: ${JSON.stringify(body.slice(0, 80))}`);
		}
	}

	/** Checks that a call was neither late nor lost without an answer. A call may fail whose process was paused or killed, refused the connection, or exited within {@link stopLossMs} after the request was sent. */
	#checkEnding(call: ObservedCall): void {
		const {incarnation, sentAt, endedAt, status, error, deadlineMs} = call;
		if (isProcessHeldUp(call)) {
			return;
		}

		if (status === 0 && error !== 'ECONNREFUSED' && !isSentAtExit(call)) {
			this.#addViolation(call, `LOST: no answer; connection error: ${error}; ${this.#describeSend(call)}; ${this.#describeEnd(incarnation)}`);
		} else if (endedAt - sentAt > deadlineMs + maxLatenessMs) {
			this.#addViolation(call, `LATE: ended after ${Math.round(endedAt - sentAt)} ms, deadline ${deadlineMs} ms; the soak's own process was held up for ${Math.round(this.#computeOwnStallMs(call))} ms of it`);
		}
	}

	/**
	Checks that no entry cut an answer or ended a request with 502 or 504 before its deadline while no engine that had it broke off; a silent engine does not.
	To be called when the run is over: an engine that is silent counts its arrivals only later.
	*/
	#checkBrokenOff(): void {
		const sendsById = new Map<string, EngineSend[]>();
		for (const {name, engine} of this.#world.startedEngines) {
			for (const arrival of engine.arrivals) {
				sendsById.set(arrival.id, [...sendsById.get(arrival.id) ?? [], {name, engine, arrival}]);
			}
		}

		for (const call of this.calls) {
			const {status, isComplete, sentAt, endedAt, deadlineMs, incarnation} = call;
			const isBrokenOff = status !== 0 && (!isComplete || brokenOffStatuses.has(status));
			const isCutInStop = incarnation.sigtermAt !== undefined && sentAt <= incarnation.sigtermAt + maxSentInStopMs && endedAt >= incarnation.sigtermAt + cutInStopMs;
			const sends = (sendsById.get(call.id) ?? []).toSorted((left, right) => left.arrival.reachedAt - right.arrival.reachedAt);
			if (isBrokenOff && endedAt - sentAt < deadlineMs && !isProcessHeldUp(call) && !isSentAtExit(call) && !isCutInStop && !this.#hasBreakingEngine(call, sends)) {
				this.#addViolation(call, `LOST: ${isComplete ? `status ${status}` : `status ${status}, answer cut`} after ${Math.round(endedAt - sentAt)} of ${deadlineMs} ms, and no engine broke off: ${formatSends(call, sends)}; ${this.#describeEnd(incarnation)}`);
			}
		}
	}

	/**
	Whether the engine that ran a call last broke off, or its link was harmed up to {@link contactMs} before the call; if none is known to have run it,
	whether that holds for one that had its prefill, or for any engine of the service.
	*/
	#hasBreakingEngine(call: ObservedCall, sends: readonly EngineSend[]): boolean {
		const from = call.sentAt - contactMs;
		const isLinkHarmed = (name: string) => this.faults.some(({fault, startedAt, endedAt}) => fault.isBreakingEngine(call.vm, name) && startedAt < call.endedAt && endedAt > from);
		const isBreaking = ({name, engine, arrival}: EngineSend) => hasBreakingFault(arrival) || engine.endedAt < call.endedAt || isLinkHarmed(name);
		const lastRun = sends.findLast(({arrival}) => arrival.hasRun);
		if (lastRun) {
			return isBreaking(lastRun);
		}

		const names = this.#world.listEngineNames(call.isStream ? 'llm' : 'app');
		return sends.some(send => !isRefused(send.arrival) && isBreaking(send)) || names.some(name => isLinkHarmed(name))
			|| this.#world.startedEngines.some(({name, engine}) => names.includes(name) && engine.endedAt > from && engine.endedAt < call.endedAt);
	}

	/** Checks that no request ran at more engines than it may; engines keep every arrival, so that one check at the end suffices. */
	#checkRuns(): void {
		const runs = new Map<string, number>();
		for (const {id, path} of this.#world.listArrivals().filter(({hasRun}) => hasRun)) {
			const count = (runs.get(id) ?? 0) + 1;
			runs.set(id, count);
			if (count > (callKinds.find(kind => path.startsWith(kind.path))?.maxRuns ?? maxProbeRuns)) {
				this.violations.push(`TWICE: request ${path} ran ${count} times`);
			}
		}
	}

	/** Checks that no two engines worked on the same stream for long, but for VMs that were paused or did not reach them. */
	#checkOverlaps(): void {
		const runsById = new Map<string, EngineSend[]>();
		for (const {name, engine} of this.#world.startedEngines) {
			for (const arrival of engine.arrivals.filter(({hasRun}) => hasRun)) {
				runsById.set(arrival.id, [...runsById.get(arrival.id) ?? [], {name, engine, arrival}]);
			}
		}

		for (const call of this.calls.filter(({isStream}) => isStream)) {
			const runs = runsById.get(call.id) ?? [];
			for (const [index, left] of runs.entries()) {
				for (const right of runs.slice(index + 1)) {
					this.#checkOverlap(call, left, right);
				}
			}
		}
	}

	#checkOverlap(call: ObservedCall, left: EngineSend, right: EngineSend): void {
		const window = {sentAt: Math.max(left.arrival.at, right.arrival.at), endedAt: Math.min(left.arrival.endedAt, right.arrival.endedAt, left.engine.endedAt, right.engine.endedAt)};
		const overlapMs = window.endedAt - window.sentAt - this.#computeOwnStallMs(window);
		const isHarmed = (name: string) => this.faults.some(({fault, startedAt, endedAt}) => (fault.isBreakingEngine(call.vm, name) || fault.isCuttingEngine(call.vm, name)) && startedAt < window.endedAt && endedAt > window.sentAt - contactMs);
		if (overlapMs > maxOverlapMs && !call.vm.hasPauseBetween(window.sentAt - contactMs, window.endedAt) && !isHarmed(left.name) && !isHarmed(right.name)) {
			this.#addViolation(call, `TWICE: ${left.name} and ${right.name} worked on it at once for ${Math.round(overlapMs)} ms`);
		}
	}

	/** Checks that the further sends of requests stay within the limit in every window; prefill sends are not counted. */
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
				this.violations.push(`BUDGET: ${furtherSends} further sends within ${furtherSendWindowMs} ms, ${Math.round(allowed)} allowed`);
				return;
			}
		}
	}

	/** Checks that engines got nothing from VMs that they had told to send nothing more, for good or for a time. */
	#checkWishes(): void {
		const callsById = new Map(this.calls.map(call => [call.id, call]));
		for (const {engine, name} of this.#world.startedEngines) {
			for (const told of engine.arrivals) {
				const call = callsById.get(told.id);
				if (call && call.status !== 0 && told.isLeavingTold && told.isHeadSent) {
					// An earlier incarnation at the address was not the one that leaves.
					const late = engine.arrivals.filter(({id, isForOther}) => !isForOther && isSameIncarnation(callsById.get(id), call) && callsById.get(id)!.sentAt > call.endedAt + leavingMs);
					this.#checkLateArrivals('DRAIN', late, {
						name, call, until: Number.POSITIVE_INFINITY, maxCount: 0,
					});
				}

				if (call && told.retryAfterMs > 0 && told.isHeadSent) {
					const until = told.at + told.retryAfterMs;
					const early = engine.arrivals.filter(({id, reachedAt}) => isSameIncarnation(callsById.get(id), call) && reachedAt > told.at + pauseGraceMs && reachedAt < until);
					this.#checkLateArrivals('BUDGET', early, {
						name, call, until, maxCount: maxArrivalsInPause,
					});
				}
			}
		}
	}

	/** Checks that engines whose leaving the store has confirmed get nothing from VMs that run, and reach the store, for long enough. */
	#checkDepartures(): void {
		const callsById = new Map(this.calls.map(call => [call.id, call]));
		for (const {engine, name, confirmedAt} of this.#world.departures) {
			const late = engine.arrivals.filter(({id, reachedAt, isForOther}) => {
				const call = callsById.get(id);
				const allowedMs = leavingMs + this.#computeOwnStallMs({sentAt: confirmedAt, endedAt: reachedAt});
				return call !== undefined && !isForOther && reachedAt > confirmedAt + allowedMs && this.#isReachingStore({...call, sentAt: reachedAt});
			});
			const [first] = late;
			if (first) {
				this.#addViolation(callsById.get(first.id)!, `DRAIN: ${late.length} requests reached ${name}, the first ${Math.round(first.reachedAt - confirmedAt)} ms after the store had confirmed that it leaves at ${Math.round(confirmedAt - this.startedAt)} ms`);
			}
		}
	}

	/** Checks that entries which can learn of it send no more requests on which engines crash once a few have crashed. */
	#checkCrashing(): void {
		const callsById = new Map(this.calls.map(call => [call.id, call]));
		const knownAt = (this.#world.crashes.toSorted((left, right) => left - right)[maxCrashes - 1] ?? Number.POSITIVE_INFINITY) + contactMs;
		const late = this.#world.listArrivals().filter(arrival => listBlocks(arrival).includes(crashingBlock) && arrival.reachedAt > knownAt).map(({id}) => callsById.get(id))
			.filter(call => call !== undefined && this.#isInTouch(call));
		if (late.length > maxArrivalsAfterCrashes) {
			this.#addViolation(late.at(-1)!, `BUDGET: ${late.length} requests with a block on which ${maxCrashes} engines had crashed reached engines, ${this.#world.crashes.length} crashed in all`);
		}
	}

	/** Checks that engines got no more than the limits that they named from the VMs that they had told, but for VMs that were stopped, paused or cut off. */
	#checkLimits(): void {
		const callsById = new Map(this.calls.map(call => [call.id, call]));
		for (const {engine, name} of this.#world.startedEngines) {
			const toldAt = new Map<Incarnation, number>();
			for (const {id, at, namedLimit, isHeadSent} of engine.arrivals) {
				const incarnation = callsById.get(id)?.incarnation;
				if (incarnation && namedLimit !== undefined && isHeadSent) {
					const answeredAt = findAnsweredAt(engine, at);
					toldAt.set(incarnation, Math.min(answeredAt, toldAt.get(incarnation) ?? answeredAt));
				}
			}

			const counted = engine.arrivals.filter(({id, reachedAt}) => {
				const call = callsById.get(id);
				return call !== undefined && reachedAt > (toldAt.get(call.incarnation) ?? Number.POSITIVE_INFINITY) + toldMs && this.#isInTouch({...call, sentAt: reachedAt});
			});
			const breach = findLimitBreach(engine.limits, counted.map(({reachedAt}) => reachedAt).sort((left, right) => left - right));
			if (breach) {
				this.violations.push(`LIMIT: ${breach.count} requests reached ${name} in 4 s, ${Math.round(breach.allowed)} allowed (${engine.limits.map(({from, perSecond}) => `${perSecond.toFixed(1)} from ${Math.round(from - this.startedAt)} ms`).join(', ')}; at ${Math.round(breach.at - this.startedAt)} ms)`);
			}
		}
	}

	/** Whether the VM of a call ran and could reach the store and the other VMs for {@link contactMs} before the call was sent. */
	#isInTouch(call: ObservedCall): boolean {
		const {vm, sentAt} = call;
		return this.#isReachingStore(call) && !this.faults.some(({fault, startedAt, endedAt}) => startedAt < sentAt && endedAt > sentAt - contactMs && fault.isCuttingVms(vm));
	}

	/** The same without the other VMs. */
	#isReachingStore({vm, incarnation, sentAt}: ObservedCall): boolean {
		const from = sentAt - contactMs;
		return incarnation.startedAt < from && (incarnation.sigtermAt ?? Number.POSITIVE_INFINITY) > sentAt && !vm.hasPauseBetween(from, sentAt)
			&& !this.faults.some(({fault, startedAt, endedAt}) => startedAt < sentAt && endedAt > from && fault.isCuttingStore(vm));
	}

	#checkLateArrivals(rule: string, arrivals: readonly Arrival[], {name, call, until, maxCount}: {readonly name: string; readonly call: ObservedCall; readonly until: number; readonly maxCount: number}): void {
		const isExcused = call.vm.hasPauseBetween(call.sentAt, until)
			|| this.faults.some(({fault, startedAt, endedAt}) => fault.isCuttingEngine(call.vm, name) && startedAt < until && endedAt > call.sentAt);
		if (arrivals.length > maxCount && !isExcused) {
			const otherCount = arrivals.filter(({isForOther}) => isForOther).length;
			this.#addViolation(call, `${rule}: ${arrivals.length} requests, ${otherCount} of them for an earlier incarnation, reached ${name} after it had told this VM to send nothing more`);
		}
	}

	/** Describes which connection carried a call and how many engines it reached. */
	#describeSend(call: ObservedCall): string {
		const {connectionIdleMs} = call;
		const connection = connectionIdleMs === undefined ? 'a new connection' : `a connection idle for ${Math.round(connectionIdleMs)} ms`;
		const engineCount = this.#world.listArrivals().filter(({id}) => id === call.id).length;
		return `on ${connection}, reached ${engineCount} engines`;
	}

	/** Describes when a process got its first SIGTERM and when its exit was seen, relative to the start of faults. */
	#describeEnd({sigtermAt, exitedAt}: Incarnation): string {
		const format = (at: number | undefined) => at === undefined ? 'none' : `${Math.round(at - this.startedAt)} ms`;
		return `SIGTERM ${format(sigtermAt)}, exit seen ${format(exitedAt)}`;
	}

	/** Returns for how long this process was held up while a call was in progress, in milliseconds. */
	#computeOwnStallMs({sentAt, endedAt}: Pick<ObservedCall, 'sentAt' | 'endedAt'>): number {
		return this.ownStalls.reduce((sum, {from, to}) => sum + Math.max(0, Math.min(to, endedAt) - Math.max(from, sentAt)), 0);
	}

	/** Finds when the last fault ended that may have cut a VM from the store, as a monotonic time in milliseconds: infinite while one lasts, minus infinity if there was none. */
	#findStoreCutEnd(vm: SoakVm): number {
		return Math.max(...this.faults.filter(({fault}) => fault.isCuttingStore(vm)).map(({endedAt}) => endedAt), Number.NEGATIVE_INFINITY);
	}

	#addViolation(call: ObservedCall, problem: string): void {
		this.violations.push(`${problem} (${call.vm.name} ${call.path}${call.id}, ${Math.round(call.sentAt - this.startedAt)} to ${Math.round(call.endedAt - this.startedAt)} ms)`);
	}
}

/** Formats when a call reached engines, for which stage, how each met it, and when it was silent meanwhile. */
function formatSends({sentAt, endedAt}: ObservedCall, sends: readonly EngineSend[]): string {
	const format = (at: number) => Math.round(at - sentAt);
	return sends.map(({name, engine, arrival}) => [
		`${name} ${String(arrival.headers[header.stage.toLowerCase()] ?? '')} at ${format(arrival.reachedAt)} ms`,
		...engine.silences.filter(({from, to}) => from < endedAt && to > sentAt).map(({from, to}) => `silent ${format(from)} to ${format(to)} ms`),
		...arrival.fault ? [arrival.fault] : [],
		...arrival.isForOther ? ['for an earlier incarnation'] : [],
	].join(', ')).join('; ') || 'reached no engine';
}

/** A request that reached an engine, which may have refused it; by the engine's name. */
type EngineSend = {readonly name: string; readonly engine: FleetEngine; readonly arrival: Arrival};

/** Whether an engine refused a request as not run. */
function isRefused({isForOther, fault}: Arrival): boolean {
	return isForOther || fault === engineFault.refuse || fault === engineFault.retryAfter;
}

function hasBreakingFault({fault, headers}: Arrival): boolean {
	return fault !== undefined && (headers[header.stage.toLowerCase()] === 'prefill' ? breakingPrefillFaults : breakingFaults).includes(fault);
}

/** Finds by when the answer to an arrival of the time `at` has left, but for the engine's work: an engine that falls silent meanwhile sends nothing. */
function findAnsweredAt({silences}: FleetEngine, at: number): number {
	return Math.max(at, ...silences.filter(({from, to}) => from < at + toldMs && to > at).map(({to}) => to));
}

/** Whether the process of a call was paused or killed. */
function isProcessHeldUp({vm, incarnation, sentAt, endedAt}: ObservedCall): boolean {
	return vm.hasPauseBetween(sentAt - stopLossMs, endedAt + stopLossMs) || (incarnation.sigkillAt !== undefined && incarnation.sigkillAt <= endedAt + stopLossMs);
}

/** Whether a call was sent within {@link stopLossMs} before the exit of its process, or after it. */
function isSentAtExit({incarnation, sentAt}: ObservedCall): boolean {
	return incarnation.exitedAt !== undefined && sentAt > incarnation.exitedAt - stopLossMs;
}

function isSameIncarnation(call: ObservedCall | undefined, other: ObservedCall): boolean {
	return call?.incarnation === other.incarnation;
}

/** Creates the body of the complete answer that engines give to a call. */
function createBody({id, isStream}: ObservedCall): string {
	return isStream
		? Array.from({length: streamEvents}, (_, index) => `id: ${index + 1}\ndata: piece ${index + 1} of ${id}\n\n`).join('')
		: `answer to ${id}`;
}

import {header} from '../platform/wire.js';
import {callerMs, callKinds} from './callers.js';
import type {SeenCall} from './callers.js';
import type {SoakFault} from './faults.js';
import {changeMs, stopMs} from './vm.js';
import type {Life, SoakVm} from './vm.js';
import type {SoakWorld} from './world.js';

/** How late an answer may be beyond its caller's time, in milliseconds: processes share a busy machine. */
const lateSlackMs = 1000;
/** What is sent in the last moment of a stopped process may go unread, in milliseconds: the least `loss_slack_ms` of a site. */
const lossSlackMs = 200;
/** Time to be heard again after a cut, a pause or a start, in milliseconds: a call's timeout and the next one. */
const catchUpMs = 3000;
/** Time for the runtime to begin on a busy machine, in milliseconds: a signal before the program's first line ends any process. */
const bootMs = 1000;
/** Further sends allowed for each request and beside them, over a window: the sites' ratio, and their slack for each entry. */
const extraRatio = 0.2;
const extraSlack = 30;
const extraWindowMs = 10_000;
/** Part of the requests that is answered well once the faults are over and everything has settled. */
const recoveredShare = 0.98;
const events = 4;
/** Engines that may run a probe: its route is that of a request that may run again. */
const mostProbeRuns = 2;
const notRunStatuses = new Set([408, 421, 429, 503]);

/** A fault that was started; times are monotonic, in milliseconds. */
export type StartedFault = {readonly fault: SoakFault; readonly at: number; endedAt: number};

/** Checks the promises while a run goes on, by what callers, engines and processes saw. */
export class Judge {
	readonly broken: string[] = [];
	readonly calls: SeenCall[] = [];
	readonly faults: StartedFault[] = [];
	/** Start of the faults; times in what is reported count from it, in milliseconds. */
	startedAt = 0;
	readonly #world: SoakWorld;
	/** Calls whose ending was not checked yet: how a process ended is told a moment after its connections have closed. */
	#unchecked: SeenCall[] = [];

	constructor(world: SoakWorld) {
		this.#world = world;
	}

	/** Takes in a call that has ended. */
	onCall(call: SeenCall): void {
		this.calls.push(call);
		this.#unchecked.push(call);
		this.#checkAnswer(call);
		if (call.status === 404) {
			this.#add(call, 'CONFIG: a route of every version was not found');
		}
	}

	/** Takes in a call of the route that only one version of the configuration has. */
	onProbe(version: number, call: SeenCall): void {
		this.calls.push(call);
		this.#unchecked.push(call);
		this.#checkAnswer(call);
		const {life, vm, sentAt} = call;
		const latest = this.#world.versions.findLast(({at}) => at < sentAt)!;
		if (call.hasReceipt) {
			if (version < life.seenVersion) {
				this.#add(call, `CONFIG: version ${version} in force after ${life.seenVersion}`);
			}

			life.seenVersion = Math.max(life.seenVersion, version);
		}

		const isOld = call.hasReceipt ? version < latest.version : call.status === 404 && version === latest.version;
		const heardAt = Math.max(life.startedAt, this.#findCut(vm)) + catchUpMs;
		if (isOld && sentAt > Math.max(heardAt, latest.at) + changeMs) {
			this.#add(call, `CONFIG: version ${latest.version}, written ${Math.round(sentAt - latest.at)} ms before, is not in force`);
		}
	}

	/** Takes in the end of a process. */
	onExit(vm: SoakVm, life: Life): void {
		if (life.killedAt !== undefined) {
			return;
		}

		const firstSignalAt = Math.min(life.termAt ?? Number.POSITIVE_INFINITY, life.reloadedAt ?? Number.POSITIVE_INFINITY);
		if (firstSignalAt - life.startedAt - vm.measurePaused(life.startedAt, firstSignalAt) < bootMs) {
			return;
		}

		const tookMs = life.exitedAt! - (life.termAt ?? Number.NaN);
		if (life.termAt === undefined || life.code !== 0) {
			this.broken.push(`EXIT: ${vm.name} ended by itself or badly, code ${life.code}`);
		} else if (tookMs > stopMs && !vm.hasPaused(life.termAt, life.exitedAt!)) {
			this.broken.push(`EXIT: ${vm.name} took ${Math.round(tookMs)} ms to stop`);
		}
	}

	/** Checks how calls ended that ended before a time, in milliseconds. */
	checkEndings(before: number): void {
		for (const call of this.#unchecked.filter(({endedAt}) => endedAt < before)) {
			this.#checkEnding(call);
		}

		this.#unchecked = this.#unchecked.filter(({endedAt}) => endedAt >= before);
	}

	/** Checks what can be told only when all is over. */
	checkWhole(): void {
		this.checkEndings(Number.POSITIVE_INFINITY);
		const ran = new Set(this.#world.listArrivals().filter(({hasRun}) => hasRun).map(({id}) => id));
		for (const call of this.calls) {
			if (notRunStatuses.has(call.status) && ran.has(call.id)) {
				this.#add(call, `UNTRUE: status ${call.status} of a request that ran`);
			}
		}

		this.#checkRuns();
		this.#checkExtras();
		for (const vm of this.#world.vms) {
			if (vm.errors !== '') {
				this.broken.push(`STDERR: ${vm.name}: ${vm.errors.slice(0, 400)}`);
			}
		}
	}

	/** Checks that requests sent since `from` were answered well. */
	checkRecovered(from: number): void {
		const sent = this.calls.filter(call => call.sentAt >= from && callKinds.some(({path}) => path === call.path));
		const bad = sent.filter(call => !call.isWhole || call.status !== 200);
		if (sent.length === 0 || bad.length > sent.length * (1 - recoveredShare)) {
			const detail = bad.slice(0, 5).map(({vm, path, status, error}) => `${vm.name}${path} ${status} ${error}`).join('; ');
			this.broken.push(`RECOVER: ${bad.length} of ${sent.length} failed after the faults: ${detail}`);
		}
	}

	#checkAnswer(call: SeenCall): void {
		const {isWhole, status, hasReceipt, body} = call;
		if (status === 200 && !hasReceipt) {
			this.#add(call, 'MIXED: a success without a receipt');
		}

		if (isWhole && hasReceipt && status !== 204 && body !== createBody(call)) {
			this.#add(call, `MIXED: status ${status}, a whole answer with the body ${JSON.stringify(body.slice(0, 80))}`);
		}
	}

	#checkEnding(call: SeenCall): void {
		const {life, vm, sentAt, endedAt, status, error} = call;
		if (vm.hasPaused(sentAt - lossSlackMs, endedAt + lossSlackMs) || (life.killedAt !== undefined && life.killedAt <= endedAt + lossSlackMs)) {
			return;
		}

		const isLastMoment = life.exitedAt !== undefined && sentAt > life.exitedAt - lossSlackMs;
		if (status === 0 && error !== 'ECONNREFUSED' && !isLastMoment) {
			this.#add(call, `LOST: no answer, ${error}`);
		} else if (endedAt - sentAt > callerMs + lateSlackMs) {
			this.#add(call, `LATE: ended after ${Math.round(endedAt - sentAt)} ms`);
		}
	}

	/** Checks that no request ran more often than it may; engines keep every arrival, so that the end tells all. */
	#checkRuns(): void {
		const runs = new Map<string, number>();
		for (const {id, path} of this.#world.listArrivals().filter(({hasRun}) => hasRun)) {
			const count = (runs.get(id) ?? 0) + 1;
			runs.set(id, count);
			if (count > (callKinds.find(kind => path.startsWith(kind.path))?.mostRuns ?? mostProbeRuns)) {
				this.broken.push(`TWICE: ${path} ran ${count} times`);
			}
		}
	}

	#checkExtras(): void {
		const seen = new Set<string>();
		const extras: number[] = [];
		for (const {id, at, headers} of this.#world.listArrivals().filter(({headers}) => headers[header.stage.toLowerCase()] === undefined).sort((left, right) => left.at - right.at)) {
			if (seen.has(id) && headers[header.requestId.toLowerCase()] !== undefined) {
				extras.push(at);
			}

			seen.add(id);
		}

		for (const end of extras) {
			const isIn = (at: number) => at > end - extraWindowMs && at <= end;
			const allowed = (this.calls.filter(({sentAt}) => isIn(sentAt)).length * extraRatio) + (extraSlack * this.#world.vms.length);
			const found = extras.filter(at => isIn(at)).length;
			if (found > allowed) {
				this.broken.push(`BUDGET: ${found} further sends in a window, ${Math.round(allowed)} allowed`);
				return;
			}
		}
	}

	/** Finds when a VM was last cut from the store. */
	#findCut(vm: SoakVm): number {
		return Math.max(...this.faults.filter(({fault}) => fault.isCutting(vm)).map(({endedAt}) => endedAt), Number.NEGATIVE_INFINITY);
	}

	#add(call: SeenCall, what: string): void {
		this.broken.push(`${what} (${call.vm.name} ${call.path}${call.id}, ${Math.round(call.sentAt - this.startedAt)} to ${Math.round(call.endedAt - this.startedAt)} ms)`);
	}
}

/** The whole answer that engines give to a call. */
function createBody({id, isStream}: SeenCall): string {
	return isStream
		? Array.from({length: events}, (_, index) => `id: ${index + 1}\ndata: piece ${index + 1} of ${id}\n\n`).join('')
		: `answer to ${id}`;
}

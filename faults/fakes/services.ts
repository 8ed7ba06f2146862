import {Buffer} from 'node:buffer';
import {Readable} from 'node:stream';
import {
	ForeignAnswerError, NotRunError, UnknownOutcomeError,
} from '../../src/errors/index.js';
import {ServiceClient, ServiceConnection} from '../../src/upstreams/index.js';
import type {ServiceAnswer, ServiceCall} from '../../src/upstreams/index.js';

/** What a service does wrong with one call. */
export const serviceFault = {
	none: 'none',
	refuse: 'refuse',
	connectFails: 'connect fails',
	/** Runs and loses its answer. */
	answerLost: 'answer lost',
	/** Runs and cuts its answer in the middle. */
	answerCut: 'answer cut',
	foreign: 'foreign',
	/** Runs and never answers. */
	silent: 'silent',
} as const;

/** See {@link serviceFault}. */
export type ServiceFault = (typeof serviceFault)[keyof typeof serviceFault];

/** A run of a call, for tests to judge by. */
export type RunRecord = {readonly id: string; readonly body: string};

/** Makes the answer of the `run`th run. */
export function createServiceAnswer(body: string, run: number): string {
	return `${body} done as ${run}`;
}

/** An instance of an application service in memory; each call takes the next planned fault. */
export class FakeService extends ServiceClient {
	readonly faults: ServiceFault[] = [];
	/** Connections in the pool that went silent: what is sent on them never arrives. */
	silentPooled = 0;
	/** Whether a connection is given out without being asked whether it answers. */
	isUnprobed = false;
	probes = 0;

	constructor(readonly id: string, readonly runs: RunRecord[]) {
		super();
	}

	async call(call: ServiceCall, signal: AbortSignal): Promise<ServiceAnswer> {
		return this.runCall(call, signal);
	}

	async open(): Promise<ServiceConnection> {
		if (this.isUnprobed && this.silentPooled > 0) {
			this.silentPooled--;
			return new FakeConnection(this, true);
		}

		this.probes += this.silentPooled + 1;
		this.silentPooled = 0;
		if (this.faults[0] === serviceFault.connectFails) {
			this.faults.shift();
			throw createConnectError();
		}

		return new FakeConnection(this, false);
	}

	async readLoad(): Promise<number> {
		return 0;
	}

	/** Runs one call as its next fault says. */
	async runCall(call: ServiceCall, signal: AbortSignal): Promise<ServiceAnswer> {
		const fault = this.faults.shift() ?? serviceFault.none;
		if (fault === serviceFault.connectFails) {
			throw createConnectError();
		}

		if (fault === serviceFault.refuse) {
			throw new NotRunError('the service refused');
		}

		const body = Buffer.from(call.body).toString();
		this.runs.push({id: call.id, body});
		if (fault === serviceFault.silent) {
			await waitForAbort(signal);
		}

		if (fault === serviceFault.answerLost || fault === serviceFault.silent) {
			throw new UnknownOutcomeError('no answer');
		}

		if (fault === serviceFault.foreign) {
			throw new ForeignAnswerError('the answer is another call\'s');
		}

		const text = createServiceAnswer(body, this.runs.length);
		return {status: 200, headers: {'content-type': 'text/plain'}, body: fault === serviceFault.answerCut ? createCutBody(text) : Readable.from([Buffer.from(text)])};
	}
}

class FakeConnection extends ServiceConnection {
	constructor(readonly service: FakeService, readonly isSilent: boolean) {
		super();
	}

	async call(call: ServiceCall, signal: AbortSignal): Promise<ServiceAnswer> {
		if (this.isSilent) {
			await waitForAbort(signal);
			throw new UnknownOutcomeError('no answer');
		}

		return this.service.runCall(call, signal);
	}

	close(): void {
		// Nothing to give back.
	}
}

function createCutBody(text: string): Readable {
	const body = new Readable({
		read() {
			body.push(text.slice(0, text.length / 2));
			body.destroy(new RangeError('cut'));
		},
	});
	return body;
}

async function waitForAbort(signal: AbortSignal): Promise<void> {
	await new Promise<void>(resolve => {
		if (signal.aborted) {
			resolve();
		}

		signal.addEventListener('abort', () => {
			resolve();
		}, {once: true});
	});
}

function createConnectError(): Error {
	return new NotRunError('no connection', {cause: new RangeError('ECONNREFUSED'), props: {isUnreached: true}});
}

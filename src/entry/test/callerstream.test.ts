import type {ServerResponse} from 'node:http';
import {Writable} from 'node:stream';
import {expect} from 'chai';
import {CallerGoneError, SlowCallerError} from '../../errors/index.js';
import {Metrics} from '../../metrics/index.js';
import {ManualTimers} from '../../timers/index.js';
import {CallerStream} from '../callerstream.js';

/** Response to a caller that reads nothing until {@link completeWrites}. */
class StalledResponse extends Writable {
	headersSent = false;
	received = '';
	readonly #writeCallbacks: Array<() => void> = [];

	constructor() {
		super({highWaterMark: 10});
	}

	writeHead(): void {
		this.headersSent = true;
	}

	override _write(chunk: Uint8Array, _encoding: string, onWritten: () => void): void {
		this.received += String(chunk);
		this.#writeCallbacks.push(onWritten);
	}

	/** Completes the pending writes, as if the caller had read them. */
	completeWrites(): void {
		for (const onWritten of this.#writeCallbacks.splice(0)) {
			onWritten();
		}
	}
}

async function getFailure(promise: Promise<unknown>): Promise<unknown> {
	try {
		await promise;
		return undefined;
	} catch (error) {
		return error;
	}
}

function createStream() {
	const timers = new ManualTimers();
	const metrics = new Metrics();
	const response = new StalledResponse();
	return {
		timers, metrics, response, stream: new CallerStream(response as unknown as ServerResponse, timers, metrics),
	};
}

describe('CallerStream', () => {
	it('fails with SlowCallerError when the caller reads nothing for 30 s', async () => {
		const {timers, metrics, stream} = createStream();
		const write = stream.write('more than the buffer holds');
		const failure = getFailure(write);
		await timers.advance(30_000);
		expect(await failure).to.be.instanceOf(SlowCallerError);
		expect(await metrics.format()).to.contain('crocus_dropped_total{kind="slow_caller"} 1');
		expect(timers.countPending()).to.equal(0);
	});

	it('continues once the caller has read what was buffered', async () => {
		const {timers, response, stream} = createStream();
		const write = stream.write('more than the buffer holds');
		await timers.advance(29_000);
		response.completeWrites();
		await write;
		expect(timers.countPending()).to.equal(0);
	});

	it('fails with CallerGoneError when the caller leaves during a write', async () => {
		const {timers, response, stream} = createStream();
		const failure = getFailure(stream.write('more than the buffer holds'));
		response.destroy();
		await timers.advance(1);
		expect(await failure).to.be.instanceOf(CallerGoneError);
		expect(timers.countPending()).to.equal(0);
		expect(response.listenerCount('drain')).to.equal(0);
	});

	it('cuts off a broken answer after 1 s also when the caller reads nothing', async () => {
		const {timers, response, stream} = createStream();
		const failure = getFailure(stream.write('more than the buffer holds'));
		stream.abort('the error');
		await timers.advance(1000);
		expect(response.destroyed).to.equal(true);
		await failure;
	});
});

import process from 'node:process';

const nanosecondsPerMicrosecond = 1000;

/** Measures the time of one call of `action` in microseconds, as the mean of `count` calls after a warm-up of a quarter as many. */
export function measureMicroseconds(count: number, action: (index: number) => void): number {
	for (let index = 0; index < count / 4; index++) {
		action(index);
	}

	const start = process.hrtime.bigint();
	for (let index = 0; index < count; index++) {
		action(index);
	}

	return Number(process.hrtime.bigint() - start) / nanosecondsPerMicrosecond / count;
}

/** Measures the heap that is retained by the result of `create`, in bytes. Throws a RangeError unless Node.js runs with `--expose-gc`. */
export function measureHeap(create: () => unknown): number {
	const before = readHeap();
	const retained = create();
	const after = readHeap();
	// This use keeps the result from being collected before the second measurement.
	return retained === undefined ? 0 : after - before;
}

/** Measures the heap that is retained by what `start` resolves to, in bytes. Throws a RangeError unless Node.js runs with `--expose-gc`. */
export async function measureStartedHeap(start: () => Promise<unknown>): Promise<number> {
	const before = readHeap();
	const retained = new Set([await start()]);
	const after = readHeap();
	// This use keeps the started object from being collected before the second measurement.
	return retained.size === 0 ? 0 : after - before;
}

/** Reads the heap in use after garbage collection, in bytes. */
function readHeap(): number {
	const {gc} = globalThis as {gc?: () => void};
	if (!gc) {
		throw new RangeError('cannot measure the heap: start Node.js with --expose-gc');
	}

	gc();
	gc();
	return process.memoryUsage().heapUsed;
}

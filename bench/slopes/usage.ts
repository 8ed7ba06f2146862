import process from 'node:process';

const nanosecondsPerMicrosecond = 1000;

/** Measures the processor time of one call of `action`, in microseconds, as the mean of `count` calls after a warm-up. */
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

/** Measures the heap that `create` holds on to, in bytes. Needs `--expose-gc`. */
export function measureHeap(create: () => unknown): number {
	const before = readHeap();
	const retained = create();
	const after = readHeap();
	// Keeps `held` alive until after the reading.
	return retained === undefined ? 0 : after - before;
}

/** Measures the heap that is held after `start`, in bytes; `start` returns what holds it. Needs `--expose-gc`. */
export async function measureStartedHeap(start: () => Promise<unknown>): Promise<number> {
	const before = readHeap();
	const retained = new Set([await start()]);
	const after = readHeap();
	// Keeps what was started alive until after the reading.
	return retained.size === 0 ? 0 : after - before;
}

/** Reads the heap in use after a collection, in bytes. */
function readHeap(): number {
	const {gc} = globalThis as {gc?: () => void};
	if (!gc) {
		throw new RangeError('heap is measured with node --expose-gc');
	}

	gc();
	gc();
	return process.memoryUsage().heapUsed;
}

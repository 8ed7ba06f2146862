import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import process from 'node:process';

/** A set of processes on loopback, started and ended together. */
export class ProcessGroup {
	readonly #children = new Set<ChildProcess>();

	/** Starts the compiled program `file` with `parameters`. */
	start(file: string, parameters: readonly string[]): ChildProcess {
		const child = spawn(process.execPath, [file, ...parameters], {stdio: ['ignore', 'inherit', 'inherit']});
		this.#children.add(child);
		child.once('exit', () => {
			this.#children.delete(child);
		});
		return child;
	}

	/** Ends every process that still runs. */
	async close(): Promise<void> {
		const ended = [...this.#children].map(async child => new Promise(resolve => {
			child.once('exit', resolve);
			child.kill('SIGKILL');
		}));
		await Promise.all(ended);
	}
}

/** Waits until `url` answers with status 200. */
export async function waitForOk(url: string, timeoutMs = 10_000): Promise<void> {
	const deadlineAt = Date.now() + timeoutMs;
	for (;;) {
		try {
			const response = await fetch(url);
			if (response.ok) {
				return;
			}
		} catch {
			// Not listening yet.
		}

		if (Date.now() > deadlineAt) {
			throw new RangeError(`${url} was not ready within ${timeoutMs} ms`);
		}

		await new Promise(resolve => {
			setTimeout(resolve, 50);
		});
	}
}

/** Waits until `send` is not refused with status 503 any more. */
export async function waitForServing(send: () => Promise<unknown>, timeoutMs = 10_000): Promise<void> {
	const deadlineAt = Date.now() + timeoutMs;
	for (;;) {
		try {
			await send();
			return;
		} catch (error) {
			if ((error as {status?: number}).status !== 503 || Date.now() > deadlineAt) {
				throw error;
			}
		}

		await new Promise(resolve => {
			setTimeout(resolve, 100);
		});
	}
}

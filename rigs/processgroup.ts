import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import process from 'node:process';

/** Child processes that are ended together. */
export class ProcessGroup {
	/** Processes that ended by themselves, with their exit codes. */
	readonly unexpectedExits: string[] = [];
	readonly #children = new Set<ChildProcess>();

	/** Starts the compiled program `file` with `parameters`; its output goes to this process's output. */
	start(file: string, parameters: readonly string[]): ChildProcess {
		const child = spawn(process.execPath, [file, ...parameters], {stdio: ['ignore', 'inherit', 'inherit']});
		this.#children.add(child);
		child.once('exit', code => {
			this.#children.delete(child);
			if (code !== null && code !== 0) {
				this.unexpectedExits.push(`${file} ${parameters.join(' ')}: exit code ${code}`);
			}
		});
		return child;
	}

	/** Number of processes that run. */
	get runningCount(): number {
		return this.#children.size;
	}

	/** Kills every process that still runs and waits until they have exited. */
	async close(): Promise<void> {
		const ended = [...this.#children].map(async child => new Promise(resolve => {
			child.once('exit', resolve);
			child.kill('SIGKILL');
		}));
		await Promise.all(ended);
	}
}

/** Waits until `url` answers with a 2xx status; throws if it does not within the timeout. */
export async function waitForOk(url: string, timeoutMs = 10_000): Promise<void> {
	const deadlineAt = Date.now() + timeoutMs;
	for (;;) {
		try {
			const response = await fetch(url);
			if (response.ok) {
				return;
			}
		} catch {
			// The server does not listen yet.
		}

		if (Date.now() > deadlineAt) {
			throw new RangeError(`${url} did not answer with a 2xx status within ${timeoutMs} ms`);
		}

		await new Promise(resolve => {
			setTimeout(resolve, 50);
		});
	}
}

/** Calls `send` until it succeeds, and again after each error with status 503; throws any other error, and a 503 after the timeout. */
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

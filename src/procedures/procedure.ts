/** One step of a procedure: a name for tests and explanations, and the work itself. */
export type Step = {
	readonly name: string;
	readonly run: () => unknown;
};

/** A procedure yields its steps and receives each step's result. */
export type Procedure<Result> = Generator<Step, Result, unknown>;

/** Observes a procedure; a test faults a step by throwing, waiting for ever or pausing here. */
export type StepHooks = {
	/** Awaited before the step's work; an error thrown here stands for a step that had no effect. */
	readonly onBefore?: (step: Step) => Promise<void> | void;
	/** Awaited after the step's work; an error thrown here stands for a lost result. */
	readonly onAfter?: (step: Step) => Promise<void> | void;
};

/**
Yields one step and returns its result with its type.

@example
```
const record = yield * callStep('read the record', () => store.get(key));
```
*/
export function * callStep<Result>(name: string, run: () => Promise<Result> | Result): Generator<Step, Result, unknown> {
	return (yield {name, run}) as Result;
}

/** Runs a procedure to its end, one step after another; a step's error is thrown into the procedure. */
export async function runProcedure<Result>(procedure: Procedure<Result>, hooks: StepHooks = {}): Promise<Result> {
	let iteration = procedure.next();
	while (!iteration.done) {
		iteration = await advance(procedure, iteration.value, hooks);
	}

	return iteration.value;
}

async function advance<Result>(procedure: Procedure<Result>, step: Step, hooks: StepHooks) {
	let result: unknown;
	try {
		await hooks.onBefore?.(step);
		result = await step.run();
		await hooks.onAfter?.(step);
	} catch (error) {
		return procedure.throw(error);
	}

	return procedure.next(result);
}

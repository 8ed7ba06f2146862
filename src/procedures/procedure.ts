/** One step of a procedure: the work, and a name by which tests and explanations refer to it. */
export type Step = {
	readonly name: string;
	readonly run: () => unknown;
};

/** A generator that yields steps and receives the result of each. */
export type Procedure<Result> = Generator<Step, Result, unknown>;

/** Called around every step. A test injects a fault by throwing, delaying or never resolving in a hook. */
export type StepHooks = {
	/** Awaited before the step's work; throwing here simulates a step that had no effect. */
	readonly onBefore?: (step: Step) => Promise<void> | void;
	/** Awaited after the step's work; throwing here simulates a step that took effect and whose result was lost. */
	readonly onAfter?: (step: Step) => Promise<void> | void;
};

/**
Yields one step and returns its result.

@example
```
const record = yield * callStep('read the record', () => store.get(key));
```
*/
export function * callStep<Result>(name: string, run: () => Promise<Result> | Result): Generator<Step, Result, unknown> {
	return (yield {name, run}) as Result;
}

/**
Runs the steps of a procedure one after another and returns the procedure's result. An error of a step or a hook is thrown
into the procedure at that step.
*/
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

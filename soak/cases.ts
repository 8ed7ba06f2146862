/** A run that once broke a promise; played again by `npm run soak -- --cases`. */
export type SoakCase = {
	readonly seed: number;
	readonly seconds: number;
	/** What it showed, in a line. */
	readonly cause: string;
};

/** Seeds that failed, each with its cause. */
export const soakCases: readonly SoakCase[] = [];

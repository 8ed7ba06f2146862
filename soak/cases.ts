/** A run that once broke a promise; played again by `npm run soak -- --cases`. */
export type SoakCase = {
	readonly seed: number;
	readonly seconds: number;
	/** What it showed, in a line. */
	readonly cause: string;
};

/** Seeds that failed, each with its cause. */
export const soakCases: readonly SoakCase[] = [
	{seed: 6, seconds: 12, cause: 'EXIT: a SIGHUP while the modules load ended the process; the handlers are now the first thing loaded'},
	{seed: 11, seconds: 12, cause: 'MIXED by the rig: chunks on a slow link passed one another as its delay ended; the link keeps their order'},
];

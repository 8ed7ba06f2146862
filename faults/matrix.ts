/** What can be done to a step; `before` and `after` say whether the step's work took effect. */
export const faultName = {
	killBefore: 'kill before',
	killAfter: 'kill after',
	freeze: 'freeze and wake',
	freezePastLease: 'freeze past the lease',
	cutPeers: 'cut from peers',
	cutPlatform: 'cut from the platform',
	cutOneWay: 'cut one way',
	platformDown: 'platform down',
	platformSlow: 'platform slow',
	answerLost: 'answer lost after the write',
	engineCrash: 'engine crash in the change',
	lateLoad: 'late load report',
	silentConnection: 'silent connection',
	crossedAnswer: 'late or crossed answer',
	operatorRace: 'two operators race',
	secondSignal: 'second signal',
	pair: 'a pair of faults',
} as const;

/** See {@link faultName}. */
export type FaultName = (typeof faultName)[keyof typeof faultName];

/** The points of "What must always hold", in the brief's order. */
export const pointName = {
	conflictingOrders: 'no conflicting orders',
	notCut: 'no request cut by a planned change',
	lostAuthority: 'orders of a lost authority have no effect',
	wholeAnswer: 'whole answer to its own request',
	notRun: 'not run is true',
	atMostOnce: 'at most once',
	leaving: 'no new work for a leaving upstream',
	gracefulStop: 'graceful shutdown cuts nothing',
	configuration: 'configuration in force and never reverts',
} as const;

/** See {@link pointName}. */
export type PointName = (typeof pointName)[keyof typeof pointName];

/** What a cell runs under. */
export type CellContext = {
	readonly seed: number;
	/** Name of a mechanism taken out, to see the cell fail. */
	readonly without?: string;
};

/** One fault at one step of one procedure. */
export type Cell = {
	readonly point: PointName;
	readonly procedure: string;
	readonly step: string;
	readonly fault: FaultName;
	/** Runs it and throws when the point does not hold, judged by the journals of the fakes. */
	readonly run: (context: CellContext) => Promise<void>;
	/** Mechanisms without which this cell is expected to fail. */
	readonly mechanisms?: readonly string[];
	/** Why the fault can't meet this step; such a cell is listed and not run. */
	readonly notApplicable?: string;
};

/** Result of a cell. */
export type CellResult = {
	readonly cell: Cell;
	/** Absent when the cell passed or was not applicable. */
	readonly failure?: string;
};

/** Runs cells one after another under one seed. */
export async function runCells(cells: readonly Cell[], context: CellContext): Promise<readonly CellResult[]> {
	const results: CellResult[] = [];
	for (const cell of cells) {
		results.push(await runCell(cell, context));
	}

	return results;
}

async function runCell(cell: Cell, context: CellContext): Promise<CellResult> {
	if (cell.notApplicable !== undefined) {
		return {cell};
	}

	try {
		await cell.run(context);
		return {cell};
	} catch (error) {
		return {cell, failure: error instanceof Error ? error.message : String(error)};
	}
}

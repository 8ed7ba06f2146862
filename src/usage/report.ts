/** Prefix of the keys of reports in the store. */
const prefix = 'usage/';

/** Keys of reports in the store. */
export const reportKey = {
	prefix,
	formatKey: (window: number) => `${prefix}${window}`,
} as const;

/** The report of a window, as it is written to the store before it is sent. */
export type UsageReport = {
	readonly window: number;
	readonly counts: ReadonlyMap<string, number>;
	/** The windows up to this one were reported or given up before this report was written. */
	readonly settledWindow: number;
};

/** Formats a report as the store keeps it. */
export function formatReport({counts, settledWindow}: Omit<UsageReport, 'window'>): string {
	return JSON.stringify({counts: Object.fromEntries(counts), settled: settledWindow});
}

/** Parses a report from its key and value; `undefined` when it is malformed. */
export function parseReport(key: string, text: string): UsageReport | undefined {
	const window = Number(key.slice(prefix.length));
	try {
		const {counts, settled} = JSON.parse(text) as {readonly counts?: unknown; readonly settled?: unknown};
		const entries = typeof counts === 'object' && counts !== null ? Object.entries(counts as Record<string, unknown>) : undefined;
		if (!Number.isSafeInteger(window) || !entries || !Number.isSafeInteger(settled) || entries.some(([, count]) => !Number.isSafeInteger(count))) {
			return undefined;
		}

		return {window, counts: new Map(entries as Array<[string, number]>), settledWindow: settled as number};
	} catch {
		return undefined;
	}
}

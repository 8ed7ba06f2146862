import {expect} from 'chai';
import {DutyWorld} from '../../duties/test/dutyworld.js';
import type {Candidate} from '../../duties/test/dutyworld.js';
import {RandomSource} from '../../rates/index.js';
import {
	formatReport, parseReport, reportKey, TrueTimeClock, UsageReporter,
} from '../index.js';

const windowMs = 5000;
const usualLateMs = 10_000;
/** Leaves time for two takeovers, where a test looks at what is sent and not at when. */
const longLateMs = 14_000;

/** Candidates that report windows. Each counts otherwise, so that two reports of one window that were computed by two of them differ. */
class ReportWorld extends DutyWorld {
	readonly windows: string[] = [];
	readonly clocks = new Map<string, TrueTimeClock>();
	#computed = 0;

	constructor(getRandom?: () => number) {
		super(getRandom);
		this.isCalling = false;
	}

	startReporter(vm: string, isPreferred = false, lateMs = usualLateMs): Candidate {
		const candidate = this.startCandidate(vm, isPreferred);
		const clock = new TrueTimeClock(candidate.timers);
		this.clocks.set(vm, clock);
		const reporter = new UsageReporter({windowMs, lateMs}, {
			timers: candidate.timers, clock, duty: candidate.duty, store: candidate.path, platform: this.platform, isActive: () => true,
			listReports: async () => {
				await candidate.path.read(reportKey.prefix);
				return new Map(this.store.listKeys(reportKey.prefix).map(key => [key, this.store.read(key).value!]));
			},
			sumCounts: window => new Map([[vm, window], ['computed', this.#computed++]]),
			onWindow: (window, outcome) => {
				this.windows.push(`${window} ${outcome}`);
			},
			onFailure() {
				// The tests look at what reaches the platform.
			},
		});
		reporter.onStoreReplaced();
		this.replacedListeners.add(() => {
			reporter.onStoreReplaced();
		});
		reporter.start();
		return candidate;
	}

	/** Lists the windows of which two different reports reached the platform. */
	listContradictions(): number[] {
		const first = new Map<number, string>();
		const found: number[] = [];
		for (const {window, counts} of this.platform.reports) {
			if ((first.get(window) ?? counts) !== counts) {
				found.push(window);
			}

			first.set(window, first.get(window) ?? counts);
		}

		return found;
	}

	/** Times from the end of a window to its first report, in milliseconds. */
	listAges(): number[] {
		const wallStartMs = this.timers.getWallTime() - this.timers.getNow();
		return [...new Map(this.platform.reports.toReversed().map(report => [report.window, report])).values()]
			.map(({window, at}) => wallStartMs + at - ((window + 1) * windowMs));
	}

	async waitForReports(count: number, timeoutMs = 60_000): Promise<void> {
		const wanted = this.platform.reports.length + count;
		for (let waitedMs = 0; this.platform.reports.length < wanted; waitedMs += 100) {
			if (waitedMs > timeoutMs) {
				throw new Error(`no report within ${timeoutMs} ms: ${this.windows.join('; ')}`);
			}

			await this.advance(100);
		}
	}
}

describe('UsageReporter', () => {
	let world: ReportWorld;
	let a: Candidate;

	beforeEach(async () => {
		world = new ReportWorld();
		a = world.startReporter('a', true);
		world.startReporter('b');
		await world.waitForReports(2);
	});

	afterEach(() => {
		expect(world.listContradictions()).to.deep.equal([]);
		world.expectNoViolations();
	});

	const countWindows = () => new Set(world.platform.reports.map(({window}) => window)).size;

	it('reports each window once, between 3 and 8 s after its end, with one write, and removes old keys', async () => {
		await world.advance(50_000);
		expect(world.platform.reports).to.have.lengthOf(countWindows());
		expect(countWindows()).to.be.at.least(11);
		// The first holder was found late.
		expect(world.listAges().slice(0, -1).filter(ageMs => ageMs < 3000 || ageMs > 8000)).to.deep.equal([]);
		expect(world.store.listKeys(reportKey.prefix).length).to.be.at.most(5);
		expect(world.windows.filter(line => line.endsWith('missed'))).to.deep.equal([]);
	});

	it('sends the same report again when its answer is lost', async () => {
		world.platform.nextOutcomes.push('uncertain', 'refused');
		await world.advance(20_000);
		expect(world.platform.reports.length).to.equal(countWindows() + 2);
	});

	it('lets the next holder send what was written when the holder is killed between writing and sending', async () => {
		world.startReporter('standby', true, longLateMs);
		await world.advance(11_000);
		await world.waitForReports(1);
		const {length} = world.platform.reports;
		world.platform.reportUsage = async () => {
			world.abortCandidate(a);
			return 'uncertain';
		};

		const keys = new Set(world.store.listKeys(reportKey.prefix));
		for (let waitedMs = 0; world.candidates.includes(a) && waitedMs < 10_000; waitedMs += 50) {
			await world.advance(50);
		}

		Reflect.deleteProperty(world.platform, 'reportUsage');
		const key = world.store.listKeys(reportKey.prefix).find(written => !keys.has(written));
		const report = parseReport(key!, world.store.read(key!).value!)!;
		await world.waitForReports(1);
		expect(world.platform.reports[length]).to.deep.include({window: report.window, counts: JSON.stringify(Object.fromEntries(report.counts))});
		await world.advance(20_000);
		expect(world.windows.filter(line => line.endsWith('missed'))).to.deep.equal([]);
	});

	it('sends what is in the store when the answer of its write was lost and another holder has written', async () => {
		a.path.state.lostAnswers = 30;
		a.path.state.lateMs = 9000;
		await world.advance(40_000);
	});

	it('never replaces a report that was sent by one that is written late', async () => {
		const late = new ReportWorld();
		const first = late.startReporter('a', true, 60_000);
		const second = late.startReporter('b', false, 60_000);
		await late.waitForReports(1);
		await late.advance(windowMs - 1000);
		// The first one's write takes effect when the second has sent its own report, without an answer.
		first.path.state.lostAnswers = 100;
		first.path.state.lateMs = 12_000;
		while (second.duty.number === undefined) {
			await late.advance(100);
		}

		late.abortCandidate(first);
		late.platform.nextOutcomes.push('uncertain');
		await late.waitForReports(1);
		late.abortCandidate(second);
		await late.advance(12_000);
		late.startReporter('c', true, 60_000);
		await late.advance(30_000);
		expect(late.platform.reports.at(-1)!.counts).to.include('"c"');
		expect(late.listContradictions()).to.deep.equal([]);
	});

	it('gives up the windows that may have been reported before the store went back', async () => {
		const copy = world.store.exportCopy();
		await world.waitForReports(2);
		await world.advance(windowMs - 600);
		world.store.replaceContents(copy);
		await world.advance(30_000);
		expect(world.windows.join(' ')).to.include('abandoned');
		expect(world.listAges().at(0)).to.be.below(8000);
	});

	it('does not report a window again when the store has lost its report and another entry holds the duty', async () => {
		world.startReporter('standby', true, longLateMs);
		await world.advance(11_000);
		const copy = world.store.exportCopy();
		await world.waitForReports(1);
		await world.advance(10);
		world.store.replaceContents(copy);
		world.abortCandidate(a);
		await world.advance(30_000);
		expect(world.windows.join(' ')).to.include('abandoned');
		expect(world.platform.reports.at(-1)!.counts).to.include('standby');
	});

	it('reports no window too early when the wall clock jumps, and goes on', async () => {
		for (const jumpMs of [4000, -8000, 2_400_000, -2_400_000]) {
			a.timers.shiftWallTime(jumpMs);
			await world.advance(1000);
			// The other entries' readings.
			const clock = world.clocks.get('a')!;
			clock.applyMedian(world.timers.getWallTime());
			await world.advance(15_000);
		}

		expect(world.listAges().filter(ageMs => ageMs < 3000)).to.deep.equal([]);
		expect(countWindows()).to.be.at.least(10);
	});

	it('counts the windows that it could not report in time', async () => {
		a.path.state.isCut = true;
		world.candidates[1]!.path.state.isCut = true;
		await world.advance(40_000);
		a.path.state.isCut = false;
		world.candidates[1]!.path.state.isCut = false;
		await world.advance(30_000);
		expect(world.windows.filter(line => line.endsWith('missed')).length).to.be.above(1);
		expect(world.windows.at(-1)).to.match(/sent$/v);
	});

	it('takes a malformed report in the store for one that may have been sent', async () => {
		const window = Math.floor(world.timers.getWallTime() / windowMs);
		world.store.tryTransact(new Map(), [{key: reportKey.formatKey(window), value: '{'}], []);
		await world.advance(15_000);
		expect(world.windows).to.include(`${window} abandoned`);
	});
});

describe('reports in the store', () => {
	it('are read as they were written, whatever the names of the customers are', () => {
		const counts = new Map([['10', 1], ['2', 2], ['__proto__', 3]]);
		const text = formatReport({counts, settledWindow: 6});
		expect(parseReport('usage/7', text)).to.deep.equal({window: 7, counts: new Map([['2', 2], ['10', 1], ['__proto__', 3]]), settledWindow: 6});
		expect(['', '{}', '{"counts":{"a":"x"},"settled":1}', 'null', '{"counts":{},"settled":"1"}'].map(value => parseReport('usage/7', value))).to.deep.equal(Array.from({length: 5}));
	});
});

describe('reports under random faults', function () {
	this.timeout(60_000);
	for (let seed = 1; seed <= 20; seed++) {
		it(`never contradict each other (seed ${seed})`, async () => {
			const random = new RandomSource(seed);
			const getRandom = () => random.getRandom();
			const world = new ReportWorld(getRandom);
			const processes = new Map(['a', 'b', 'c'].map(vm => [vm, world.startReporter(vm, vm === 'a')]));
			let copy = world.store.exportCopy();
			for (let step = 0; step < 120; step++) {
				await world.advance(getRandom() * 4000);
				const vm = ['a', 'b', 'c'][random.pickIndex(3)]!;
				const process = processes.get(vm)!;
				const fault = getRandom();
				if (fault < 0.1) {
					world.abortCandidate(process);
					processes.set(vm, world.startReporter(vm, vm === 'a'));
				} else if (fault < 0.2) {
					process.timers.startSuspension();
				} else if (fault < 0.3) {
					process.timers.resume();
				} else if (fault < 0.4) {
					process.path.state.isCut = !process.path.state.isCut;
				} else if (fault < 0.5) {
					process.path.state.lostAnswers = random.pickIndex(4);
					process.path.state.lateMs = getRandom() < 0.5 ? undefined : 2000 + (getRandom() * 10_000);
				} else if (fault < 0.6) {
					world.platform.nextOutcomes.push('uncertain');
				} else if (fault < 0.65) {
					copy = world.store.exportCopy();
				} else if (fault < 0.7) {
					world.store.replaceContents(copy);
				}
			}

			expect(world.platform.reports.length).to.be.above(3);
			expect(world.listContradictions()).to.deep.equal([]);
			world.expectNoViolations();
		});
	}
});

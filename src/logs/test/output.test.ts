import {expect} from 'chai';
import {ManualTimers} from '../../timers/index.js';
import {StructuredLogs, LogOutput} from '../index.js';

/** Records lines; a test sets `backlogBytes` to simulate a reader that has stopped. */
class RecordedOutput extends LogOutput {
	backlogBytes = 0;
	readonly lines: string[] = [];

	write(text: string): void {
		this.lines.push(text);
	}
}

describe('StructuredLogs', () => {
	it('writes one structured line with its fields', () => {
		const output = new RecordedOutput();
		new StructuredLogs(new ManualTimers(), output, {vm: 'vm1'}).write('request', {id: 'r1'}, 'request answered');
		const [line = ''] = output.lines;
		expect(JSON.parse(line)).to.deep.include({message: 'request answered'});
		expect((JSON.parse(line) as {context: unknown}).context).to.include({vm: 'vm1', kind: 'request', id: 'r1'});
	});

	it('limits the rate at five times the maximum, and reports the number of dropped lines', async () => {
		const timers = new ManualTimers();
		const output = new RecordedOutput();
		const logs = new StructuredLogs(timers, output, {});
		for (let second = 0; second < 5; second++) {
			for (let index = 0; index < 2000; index++) {
				logs.write('request', {}, 'x');
			}

			await timers.advance(1000);
		}

		expect(output.lines.length).to.be.at.most(2400);
		expect(logs.droppedLines).to.equal(10_000 - output.lines.length);
		logs.write('request', {}, 'x');
		expect(output.lines.at(-1)).to.contain('linesLeftOut');
	});

	it('drops lines while the backlog exceeds its maximum', () => {
		const output = new RecordedOutput();
		const logs = new StructuredLogs(new ManualTimers(), output, {});
		output.backlogBytes = 10_000_000;
		logs.write('request', {}, 'x');
		expect([output.lines.length, logs.droppedLines]).to.deep.equal([0, 1]);
	});
});

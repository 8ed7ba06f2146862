import {operationKind} from '../../src/operations/index.js';
import type {FakeDomain} from '../fakes/domain.js';

/** A procedure of the authority as the matrix runs it: what leads up to it, what starts it, and its steps. */
export type FaultedProcedure = {
	readonly name: string;
	/** Done, and settled, before a fault is armed. */
	readonly open?: (domain: FakeDomain) => Promise<void>;
	readonly start: (domain: FakeDomain) => Promise<void>;
	readonly steps: readonly string[];
};

const change = [
	'read the engine',
	'write the state closing',
	...listOrderSteps('drain'),
	...listOrderSteps('configure'),
	'read the engine to settle',
	'write the confirmation',
	'write the state serving',
];
const leave = ['write the state closing', ...listOrderSteps('drain'), 'write the confirmation', 'write the state withdrawn'];

/** Every procedure, step by step. */
export const procedures: readonly FaultedProcedure[] = [
	{
		name: 'take over',
		async start(domain) {
			domain.setText('2');
			await domain.timers.advance(900);
			abortHolder(domain);
		},
		steps: ['read the record to take over', 'raise the fence to take over', 'read the engine'],
	},
	{
		name: 'change a role',
		async start(domain) {
			domain.setRole('e1', 'decode');
		},
		steps: change,
	},
	{
		name: 'load a version',
		async start(domain) {
			domain.setText('2');
		},
		steps: change,
	},
	{
		name: 'drain',
		async start(domain) {
			await domain.ask('1', operationKind.drain, 'e1');
		},
		steps: ['write the state closing', ...listOrderSteps('drain'), 'write the confirmation'],
	},
	{
		name: 'resume',
		async open(domain) {
			await domain.ask('1', operationKind.drain, 'e1');
		},
		async start(domain) {
			await domain.ask('2', operationKind.resume, 'e1');
		},
		steps: [...listOrderSteps('resume'), 'write the confirmation', 'write the state serving'],
	},
	{
		name: 'replace',
		async open(domain) {
			await domain.ask('1', operationKind.drain, 'e2');
		},
		async start(domain) {
			await domain.ask('2', operationKind.replace, 'e1', 'e2');
		},
		steps: [...listOrderSteps('resume'), 'write the state serving', ...leave],
	},
	{
		name: 'withdraw',
		async start(domain) {
			await domain.ask('1', operationKind.withdraw, 'e1');
		},
		steps: leave,
	},
	{
		name: 'remove from the text',
		async start(domain) {
			domain.setText('1', ['e1']);
		},
		steps: leave,
	},
	{
		name: 'withdraw a plain service',
		async start(domain) {
			await domain.ask('1', operationKind.withdraw, 'a1');
		},
		steps: ['write the state closing', 'write the state withdrawn'],
	},
	{
		name: 'repair a restarted engine',
		async open(domain) {
			domain.setText('2');
		},
		async start(domain) {
			domain.engines.get('e1')?.abort(500);
		},
		steps: change,
	},
	{
		name: 'stop gracefully in a change',
		async start(domain) {
			domain.setText('2');
			const holder = domain.findHolder();
			domain.timers.startTimer(1100, () => {
				void holder?.authority.stop();
			});
		},
		steps: change,
	},
];

/** The steps of an order whose answer was lost, on an engine that refuses old fences. */
export const settling: FaultedProcedure = {
	name: 'settle a lost order',
	async start(domain) {
		for (const client of domain.findHolder()?.clients.values() ?? []) {
			client.lostAnswers = 1;
		}

		domain.setText('2');
	},
	steps: ['read the engine to settle', 'raise the fence', 'check the authority to seal', 'seal the engine', 'write the confirmation'],
};

/** Kills the entry that holds the authority. */
export function abortHolder(domain: FakeDomain): void {
	const holder = domain.findHolder();
	if (holder) {
		domain.abort(holder);
	}
}

function listOrderSteps(kind: string): readonly string[] {
	return [`write the intention to ${kind}`, `check the authority to ${kind}`, `send ${kind}`, `read the engine after ${kind}`];
}

#!/usr/bin/env node
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {parseDeployment, serviceKind} from '../src/deployment/index.js';
import {engineEvent} from '../standins/engine/index.js';
import {
	collectChat, readEngineJournal, runChat, runOperation, sendServiceCall,
} from './calls.js';
import {RunningDeployment} from './deployment.js';
import {waitForServing} from './processgroup.js';
import {createChat, createClient} from './wire.js';

/** Starts one of the deployments of `examples/` on loopback and sends requests through it: `npm run demo -- office`. */
const name = process.argv[2] ?? 'umuhora';
const text = readFileSync(`examples/${name}.toml`, 'utf8');
const parsed = parseDeployment(text);
const model = parsed.services.find(service => service.kind === serviceKind.model)!;
const modelName = model.kind === serviceKind.model ? model.model : '';
const application = parsed.services.find(service => service.kind === serviceKind.application)!;
const [method = 'POST', path = '/refunds'] = ((application.kind === serviceKind.application ? application.nonRepeatable[0] : undefined) ?? '').split(' ');
const deployment = new RunningDeployment({configurationText: text, entriesPerDomain: 2});
try {
	console.log(`${name}: starts the platform, ${parsed.upstreams.length} upstreams and ${parsed.domains.length * 2} entries`);
	await deployment.start();
	const [entry, otherEntry] = deployment.entries;
	// After a first start, an engine gets requests once its domain's authority has read its setup.
	const client = createClient(entry!.origin, 'cafe-12');
	await waitForServing(async () => client.chat.completions.create(createChat(modelName, 'ready?', 4)));
	const completeAnswer = await collectChat(entry!.origin, {model: modelName, prompt: 'Is the deposit late?', maxTokens: 20});
	console.log(`${entry!.vm} whole:   `, completeAnswer.text);
	const streamed = await runChat(entry!.origin, {model: modelName, prompt: 'Is the deposit late?', maxTokens: 20});
	console.log(`${entry!.vm} streamed:`, streamed.text);
	const longChat = await runChat(entry!.origin, {model: modelName, prompt: 'clause '.repeat(4000), maxTokens: 20});
	console.log(`${entry!.vm} 7,000-token dossier: first token after ${Math.round(longChat.firstChunkMs)} ms, whole after ${Math.round(longChat.totalMs)} ms`);
	await printCalls(entry!.origin, otherEntry!.origin);
	await printDrain(entry!.origin);
	for (const {upstream, origin} of deployment.upstreams.filter(({upstream}) => upstream.service === model.name)) {
		const rows = await readEngineJournal(origin);
		console.log(`${upstream.id}: ${rows.filter(row => row.event === engineEvent.requestEnded).length} requests ended, ${rows.filter(row => row.event === engineEvent.requestCut).length} cut`);
	}
} finally {
	await deployment.close();
}

async function printCalls(origin: string, otherOrigin: string): Promise<void> {
	const schedule = await sendServiceCall(origin, `${application.name}/schedules/12`);
	console.log(`schedule: ${schedule.status} ${schedule.body}`);
	const body = {amount: 500};
	for (const entryOrigin of [origin, otherOrigin]) {
		const answer = await sendServiceCall(entryOrigin, `${application.name}${path}`, body, 'key-1');
		console.log(`${method} ${path} with one key: ${answer.status} ${answer.body}`);
	}
}

async function printDrain(origin: string): Promise<void> {
	const subject = deployment.upstreams[0]!.upstream.id;
	const running = runChat(origin, {model: modelName, prompt: 'Explain every deposit.', maxTokens: 400});
	for (const kind of ['drain', 'resume']) {
		const {state, detail} = await runOperation(origin, {id: `demo-${kind}`, kind, subject});
		console.log(`${kind} ${subject}: ${state} ${detail}`);
	}

	const {isComplete} = await running;
	console.log(`a chat that ran meanwhile: ${isComplete ? 'whole' : 'not whole'}`);
}

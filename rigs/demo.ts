#!/usr/bin/env node
import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {Rig, waitForOk, waitForServing} from './rig.js';
import {createChat, createClient} from './wire.js';

/** Starts a thin deployment on loopback and sends one request through it. */
const text = `[deployment]
name = "umuhora"
domains = ["kigali-1"]

[services.contracts]
kind = "model"
model = "contracts"
version = "1"
deadline_ms = 30000

[[upstreams]]
id = "engine-1"
service = "contracts"
domain = "kigali-1"
address = "127.0.0.1:7101"
pieces = 64
`;
const rig = new Rig();
try {
	rig.start('dist/standins/platform/main.js', ['127.0.0.1:7000']);
	rig.start('dist/standins/engine/main.js', ['127.0.0.1:7101']);
	await waitForOk('http://127.0.0.1:7000/vms');
	await waitForOk('http://127.0.0.1:7101/journal');
	await fetch('http://127.0.0.1:7000/kv/configuration', {
		method: 'PUT',
		body: JSON.stringify({value: JSON.stringify({version: 1, text, hash: ''}), expectedRevision: 0}),
	});
	const file = path.join(mkdtempSync(path.join(tmpdir(), 'crocus-')), 'entry.toml');
	writeFileSync(file, `vm = "vm-1"
domain = "kigali-1"
http = "127.0.0.1:8001"
peer = "127.0.0.1:9001"
platform = "http://127.0.0.1:7000"
secret = "a secret of the demo"
`);
	rig.start('dist/src/entry/main.js', [file]);
	await waitForOk('http://127.0.0.1:8001/readyz');
	const client = createClient('http://127.0.0.1:8001', 'cafe-12');
	const chat = createChat('contracts', 'Is the deposit late?', 20);
	// At a first start the engine takes work once the domain's authority has seen how it is set up.
	await waitForServing(async () => client.chat.completions.create(chat));
	const whole = await client.chat.completions.create(chat);
	const stream = await client.chat.completions.create({...chat, stream: true});
	let streamed = '';
	for await (const chunk of stream) {
		streamed += chunk.choices[0]?.delta.content ?? '';
	}

	console.log('whole   ', whole.choices[0]?.message.content);
	console.log('streamed', streamed);
} finally {
	await rig.close();
}

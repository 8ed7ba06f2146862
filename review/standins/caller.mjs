// Stand-in of a requester.
import http from 'node:http';
import {host} from './world.mjs';

let nextNumber = 1;

/** Sends one request and records what came of it; resolves when it has ended or after `patienceMs`. */
export async function call(world, vm, {path, method = 'POST', deadlineMs, headers = {}, agent = false, body = '', patienceMs = deadlineMs}) {
	const id = `q${String(nextNumber++).padStart(5, '0')}`;
	const sentAt = performance.now();
	const result = {
		id, path, vm: vm.name, sentAt, status: 0, body: '', isComplete: false, error: undefined, isOpen: true,
	};
	await new Promise(resolve => {
		const end = () => {
			if (result.isOpen) {
				result.isOpen = false;
				result.endedAt = performance.now();
				clearTimeout(timer);
				resolve();
			}
		};

		const request = http.request({
			...vm.front, path, method, agent, headers: {
				Host: host, 'Crocusworks-Request-Id': id, 'Crocusworks-Deadline-Ms': String(deadlineMs), ...headers,
			},
		});
		const timer = setTimeout(() => {
			result.isLeft = true;
			request.destroy();
			end();
		}, patienceMs);
		request.on('response', response => {
			result.status = response.statusCode;
			result.stamp = response.headers['crocusworks-server-stamp'];
			response.setEncoding('latin1');
			response.on('data', chunk => {
				result.body += chunk;
			});
			response.on('error', () => undefined);
			response.on('close', () => {
				result.isComplete = response.complete;
				end();
			});
		});
		request.on('error', error => {
			result.error = error.code ?? error.message;
			end();
		});
		request.end(body);
	});
	const state = result.isLeft ? 'left without an answer' : `status ${result.status}, ${result.isComplete ? 'complete' : 'NOT COMPLETE'}${result.error ? `, ${result.error}` : ''}`;
	world.record(`${vm.name}: ${id} ${path} sent ${(result.endedAt - sentAt).toFixed(0)} ms ago: ${state}`);
	return result;
}

/** Header fields of a prompt: its shared parts as `id:tokens`, and tokens of its own. */
export function describePrompt(parts, ownTokens, outputTokens, ownId = `f${nextNumber.toString(16)}`) {
	const tokens = parts.reduce((sum, part) => sum + Number(part.split(':')[1]), 0) + ownTokens;
	return {
		'Crocusworks-Model': 'm', 'Crocusworks-Token-Count': `${tokens},${outputTokens}`, 'Crocusworks-Prompt-Prefix': [...parts, `${ownId}:${ownTokens}`].join(','),
	};
}

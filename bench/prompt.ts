import type {Job} from './mix.js';

const charactersPerToken = 4;
const topicTokens = 1024;

/** Makes the prompt of a job: reading jobs of one topic begin alike, everything else is its own. */
export function createPrompt(job: Job): string {
	const shared = `topic ${job.topic} `.padEnd(topicTokens * charactersPerToken, 'the deposit ledger of the cafe ');
	const own = `job ${job.at} `.padEnd(job.promptTokens * charactersPerToken, 'clause of the contract with the hauler ');
	return job.isReading ? (shared + own).slice(0, job.promptTokens * charactersPerToken) : own.slice(0, job.promptTokens * charactersPerToken);
}

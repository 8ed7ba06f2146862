import type {Job} from './mix.js';

const charactersPerToken = 4;
const topicPrefixTokens = 1024;

/** Creates the prompt of a job. Prompts of prefill-heavy jobs with the same topic share a prefix of up to 1,024 tokens; the rest is unique to the job. */
export function createPrompt(job: Job): string {
	const topicPrefix = `topic ${job.topic} `.padEnd(topicPrefixTokens * charactersPerToken, 'the deposit ledger of the cafe ');
	const uniqueText = `job ${job.sendAtMs} `.padEnd(job.promptTokens * charactersPerToken, 'clause of the contract with the hauler ');
	return job.isPrefillHeavy ? (topicPrefix + uniqueText).slice(0, job.promptTokens * charactersPerToken) : uniqueText.slice(0, job.promptTokens * charactersPerToken);
}

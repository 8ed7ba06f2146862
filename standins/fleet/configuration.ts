/** Host name that all routes match. */
export const callersHost = 'callers.example';

/** Creates the configuration that tests and the soak start with: one idempotent route, one that must not be repeated, and two streaming routes. */
export function createConfiguration(version = 1, changes: Record<string, unknown> = {}): Record<string, unknown> {
	const route = {
		host: callersHost, timeout_ms: 1500, target_latency_ms: 200, priority: 1, attempts: 2,
	};
	return {
		version,
		routes: [
			{
				...route, name: 'lookup', path_prefix: '/lookup/', kind: 'safe', service: 'app',
			},
			{
				...route, name: 'refund', path_prefix: '/refund/', kind: 'unsafe', service: 'app', attempts: 1,
			},
			{
				...route, name: 'check', path_prefix: '/check/', kind: 'stream', service: 'llm', can_resume: true, sticky: true, target_gap_ms: 150,
			},
			{
				...route, name: 'draft', path_prefix: '/draft/', kind: 'stream', service: 'llm', can_resume: false, attempts: 1, sticky: true,
			},
		],
		services: [
			{
				name: 'app', health_path: '/healthz', max_conns: 96, protocol: 'h1', tls: false,
			},
			{
				name: 'llm', health_path: '/healthz', max_conns: 96, protocol: 'h1', tls: false, engine: {slots: 6, kv_capacity: 1_400_000},
			},
		],
		limits: {
			max_header_bytes: 16_384, max_body_bytes: 65_536, header_timeout_ms: 3000, idle_timeout_ms: 5000,
		},
		...changes,
	};
}

/**
Creates the header fields that describe a generation's prompt. `prefixBlock` is a block that several requests share, as `id:tokens`, or several with commas between;
`uniqueTokens` are the tokens of the prompt beyond it.
*/
export function createPromptHeaders(prefixBlock = 'aa:2000', uniqueTokens = 500): Record<string, string> {
	const blockTokens = prefixBlock.split(',').reduce((sum, block) => sum + Number(block.split(':')[1]), 0);
	return {
		'Crocusworks-Model': 'm', 'Crocusworks-Token-Count': `${blockTokens + uniqueTokens},69`, 'Crocusworks-Prompt-Prefix': `${prefixBlock},bb:${uniqueTokens}`,
	};
}

/** Values of the settings file of an entry's process; times are in milliseconds. */
export type SettingsValues = {
	readonly vm: string;
	readonly ip: string;
	readonly callersPort: number;
	readonly readyPort: number;
	readonly peerPort: number;
	readonly storeAddress: string;
	readonly seeds: readonly string[];
	/** Time from SIGTERM to SIGKILL. */
	readonly stopTimeoutMs: number;
	/** Time within which a change of the engines or of the configuration must be in force. */
	readonly changeTimeoutMs: number;
};

/** Number of ports in the range that entries may use for connections to each other. */
const peerPortCount = 10;

/** Creates the text of a settings file, as the platform passes it to an entry's process. */
export function createSettingsText(values: SettingsValues): string {
	const {vm, ip, callersPort, readyPort, peerPort, storeAddress, seeds, stopTimeoutMs, changeTimeoutMs} = values;
	return `
node_name = "${vm}"
ip = "${ip}"
zone = "z1"
port_range = [${peerPort}, ${peerPort + peerPortCount - 1}]
seeds = ${JSON.stringify(seeds)}
heartbeat_ms = 1200
[listen]
front = "${ip}:${callersPort}"
ready = "${ip}:${readyPort}"
[limits]
cpu_share = 1.0
[platform]
address = "${storeAddress}"
[bounds]
grace_s = ${stopTimeoutMs / 1000}
retry_budget_ratio = 0.2
budget_window_s = 10
drain_ms = ${changeTimeoutMs}
config_apply_ms = ${changeTimeoutMs}
`;
}

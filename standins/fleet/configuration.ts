/** Host of all routes. */
export const callersHost = 'callers.example';

/** The configuration that tests and the soak begin with: an idempotent, an unrepeatable and two stream routes. */
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

import type {ApplicationService} from '../deployment/index.js';

/** Headers that apply to a single connection, or that this system sets itself. */
const droppedHeaders = new Set([
	'connection',
	'keep-alive',
	'proxy-authenticate',
	'proxy-authorization',
	'proxy-connection',
	'te',
	'trailer',
	'transfer-encoding',
	'upgrade',
	'expect',
	'host',
	'content-length',
	'x-request-id',
	'x-not-run',
]);
const internalHeaderPrefix = 'x-crocus-';

/**
Whether a call may be repeated: none of the service's `nonRepeatable` rules matches it. A rule also matches paths below
its own, and paths that a service could treat as the same (doubled slashes, another case, encoded characters), since
repeating a call by mistake is worse than not repeating it.
*/
export function isRepeatable(service: Pick<ApplicationService, 'nonRepeatable'>, method: string, path: string): boolean {
	const normalizedPath = normalizePath(path);
	return !service.nonRepeatable.some(rule => {
		const [ruleMethod = '', rulePath = ''] = rule.split(' ');
		const normalizedRulePath = normalizePath(rulePath);
		return ruleMethod.toUpperCase() === method.toUpperCase() && (normalizedPath === normalizedRulePath || normalizedPath.startsWith(`${normalizedRulePath}/`));
	});
}

/** Selects the headers that are forwarded; several values of a header are joined by commas. */
export function selectForwardedHeaders(headers: Readonly<Record<string, string | readonly string[] | undefined>>): Readonly<Record<string, string>> {
	return Object.fromEntries(Object.entries(headers).flatMap(([name, value]) => {
		const isDropped = value === undefined || droppedHeaders.has(name) || name.startsWith(internalHeaderPrefix);
		return isDropped ? [] : [[name, typeof value === 'string' ? value : value.join(', ')]];
	}));
}

function normalizePath(path: string): string {
	const [pathname = ''] = path.split(/[#?]/v, 1);
	const segments: string[] = [];
	for (const segment of decodePath(pathname).toLowerCase().split('/')) {
		if (segment === '..') {
			segments.pop();
		} else if (segment !== '' && segment !== '.') {
			segments.push(segment);
		}
	}

	return segments.join('/');
}

function decodePath(path: string): string {
	try {
		return decodeURIComponent(path);
	} catch {
		return path;
	}
}

import type {ApplicationService} from '../deployment/index.js';

/** Headers that belong to one connection, or that the system sets itself. */
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
Asks whether a call may be repeated. A path below one that is named, and one that a service could take for it
(doubled slashes, another case, encoded characters), counts as the named one: that errs on the safe side.
*/
export function isRepeatable(service: Pick<ApplicationService, 'nonRepeatable'>, method: string, path: string): boolean {
	const normalizedPath = normalizePath(path);
	return !service.nonRepeatable.some(rule => {
		const [ruleMethod = '', rulePath = ''] = rule.split(' ');
		const normalizedRulePath = normalizePath(rulePath);
		return ruleMethod.toUpperCase() === method.toUpperCase() && (normalizedPath === normalizedRulePath || normalizedPath.startsWith(`${normalizedRulePath}/`));
	});
}

/** Keeps the headers that go on to the other side. */
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

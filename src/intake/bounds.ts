/** Limits of the machine that a process runs on. */
export type MachineLimits = {
	/** Memory of the process, in megabytes; `undefined` where it is not known. */
	readonly memoryMb: number | undefined;
	/** Descriptors that the process may have open; `undefined` where that is not known. */
	readonly maxDescriptors: number | undefined;
};

/** Bounds on what a process holds for its clients. */
export type IntakeBounds = {
	/** Bytes held for callers: bodies, heads and answers that have not left. */
	readonly maxBytes: number;
	/** Part of them that is reserved for small requests, and the size up to which a request is small, in bytes. */
	readonly reservedBytes: number;
	readonly smallBytes: number;
	/** Open connections of callers. */
	readonly maxConnections: number;
	/** Connections accepted from other entries. */
	readonly maxPeerConnections: number;
	/** Bytes that may wait to be sent to other entries, on all connections together. */
	readonly maxPeerQueuedBytes: number;
	/** Requests in progress on one connection. */
	readonly maxPipelined: number;
	/** Rate below which a body is not sent in time, in bytes a second. */
	readonly minBodyBytesPerSecond: number;
};

const bytesPerMegabyte = 1_048_576;
/** Limits that are assumed where the settings name none: a machine of the middle of the deployment. */
const assumedMemoryMb = 350;
const assumedDescriptors = 4096;
/**
Share of the memory that is held for callers. On the smallest machine, of 210 MB, the program itself takes 70 MB before the first request, and its heap may
grow by some 100 MB; the chunks that are merged stay in memory until the next collection besides.
*/
const budgetShare = 0.12;
/** Share of the bytes that is reserved for small requests, and their size, in bytes: twice the head that a configuration usually allows. */
const reservedShare = 0.25;
const smallBytes = 32_768;
/** Descriptors for files and for this process's own connections to engines, the store and other entries, and for the readiness check and metrics. */
const ownDescriptors = 200;
/** Share of the rest that other entries may use, and its bounds: each of up to 87 entries opens a few connections. */
const peerShare = 0.1;
const minPeerConnections = 32;
const maxPeerConnections = 400;
/** A connection of a caller with part of a head takes up to some 30 kB. */
const connectionsPerMegabyte = 8;
const minConnections = 32;
/** Share of the memory that may wait to be sent to other entries. */
const peerQueueShare = 0.06;
/** A caller waits for an answer before it sends the next request, or sends a few ahead. */
const maxPipelined = 64;
/** 4 MB may take hours at it: bodies that take up memory are refused by their size and age when that runs short. */
const minBodyBytesPerSecond = 256;

/** Computes the bounds that fit a machine; those of `overrides` that are given replace them. */
export function computeIntakeBounds({memoryMb = assumedMemoryMb, maxDescriptors = assumedDescriptors}: MachineLimits, overrides: Partial<IntakeBounds> = {}): IntakeBounds {
	const maxBytes = overrides.maxBytes ?? Math.round(memoryMb * bytesPerMegabyte * budgetShare);
	const freeDescriptors = Math.max(0, maxDescriptors - ownDescriptors);
	const peerConnections = Math.round(Math.max(minPeerConnections, Math.min(maxPeerConnections, freeDescriptors * peerShare)));
	return {
		maxBytes,
		reservedBytes: Math.round(maxBytes * reservedShare),
		smallBytes,
		maxConnections: Math.max(minConnections, Math.min(freeDescriptors - peerConnections, Math.round(memoryMb * connectionsPerMegabyte))),
		maxPeerConnections: peerConnections,
		maxPeerQueuedBytes: Math.round(memoryMb * bytesPerMegabyte * peerQueueShare),
		maxPipelined,
		minBodyBytesPerSecond,
		...overrides,
	};
}

import type {HeartbeatMessage} from './messages.js';
import {computeRank} from './rendezvous.js';

/** Time without a higher sequence number after which a root is considered gone, in milliseconds. */
const rootTimeoutMs = 3500;
/** How far an advertisement may lag behind the latest sequence number of its root. */
const maxSequenceLag = 3;
/** Maximum number of roots whose sequence numbers are remembered. */
const maxRoots = 64;
/** Number of children that an entry accepts at its true distance; its sending load grows with each child. */
const maxPreferredChildren = 2;
/** Hops added to the distance advertised to any further child, to make it choose another parent. */
const surplusChildHops = 3;

/** What a neighbor's heartbeat says of its position in the tree. */
type Advertisement = Pick<HeartbeatMessage, 'root' | 'sequence' | 'hops' | 'isChild'>;
type RootRecord = {readonly sequence: number; readonly updatedAt: number};

/** An entry's position in the tree: the root, the root's latest sequence number, and the number of links to the root. */
export type TreePosition = Pick<HeartbeatMessage, 'root' | 'sequence' | 'hops'>;

/**
Spanning tree over the connections within one failure domain. Facts are broadcast along it, which brings each fact to each
entry once. The root is the entry with the lowest rendezvous rank. It raises a sequence number with each heartbeat, and
heartbeats carry the number down the tree. Each entry takes as its parent the neighbor that advertises a current number
over the fewest links. When the root or a link fails, the number stops rising, and another root or parent is chosen.
*/
export class BroadcastTree {
	#parentLinkId: string | undefined;
	#position: TreePosition;
	readonly #vm: string;
	readonly #domain: string;
	readonly #advertisements = new Map<string, Advertisement>();
	readonly #roots = new Map<string, RootRecord>();
	#sequence: number;

	/** `sequence` must be higher than any that an earlier process on the same VM has sent. */
	constructor(vm: string, domain: string, sequence: number) {
		this.#vm = vm;
		this.#domain = domain;
		this.#sequence = sequence;
		this.#position = {root: vm, sequence, hops: 0};
	}

	/** This entry's position; at the root, `hops` is 0. */
	get position(): TreePosition {
		return this.#position;
	}

	/** Id of the link to the parent; `undefined` at the root. */
	get parentLinkId(): string | undefined {
		return this.#parentLinkId;
	}

	/** Raises this entry's sequence number; to be called once per heartbeat interval. */
	advance(now: number): void {
		this.#sequence++;
		this.#decideParent(now);
	}

	/** Handles the advertisement in a neighbor's heartbeat; `now` is in milliseconds of the monotonic clock. */
	onAdvertisement(linkId: string, advertisement: Advertisement, now: number): void {
		this.#advertisements.set(linkId, advertisement);
		if (advertisement.root === this.#vm) {
			// Others may still remember a higher number from an earlier process on this VM.
			this.#sequence = Math.max(this.#sequence, advertisement.sequence);
		} else if (advertisement.sequence > (this.#roots.get(advertisement.root)?.sequence ?? -1)) {
			this.#roots.delete(advertisement.root);
			this.#roots.set(advertisement.root, {sequence: advertisement.sequence, updatedAt: now});
			this.#pruneRoots();
		}

		this.#decideParent(now);
	}

	/** Removes a closed link from the tree. */
	onLinkClosed(linkId: string, now: number): void {
		this.#advertisements.delete(linkId);
		this.#decideParent(now);
	}

	/** Tells whether a link belongs to the tree, that is whether it leads to this entry's parent or to a child. */
	isTreeLink(linkId: string): boolean {
		return linkId === this.#parentLinkId || this.#advertisements.get(linkId)?.isChild === true;
	}

	/** Computes the distance to advertise over a link; an entry that has enough children advertises a longer one to all others. */
	computeAdvertisedHops(linkId: string): number {
		const children = [...this.#advertisements].filter(([, advertisement]) => advertisement.isChild).map(([child]) => child);
		const isPreferred = children.length < maxPreferredChildren || children.slice(0, maxPreferredChildren).includes(linkId);
		return this.#position.hops + (isPreferred ? 0 : surplusChildHops);
	}

	#decideParent(now: number): void {
		let best: TreePosition = {root: this.#vm, sequence: this.#sequence, hops: 0};
		let parent: string | undefined;
		for (const [linkId, advertisement] of this.#advertisements) {
			if (this.#isUsable(advertisement, now) && this.#isBetter(advertisement, linkId, best)) {
				best = {...advertisement, hops: advertisement.hops + 1};
				parent = linkId;
			}
		}

		this.#parentLinkId = parent;
		this.#position = {root: best.root, sequence: this.#roots.get(best.root)?.sequence ?? best.sequence, hops: best.hops};
	}

	#isUsable(advertisement: Advertisement, now: number): boolean {
		const root = this.#roots.get(advertisement.root);
		return root !== undefined && !advertisement.isChild
			&& now - root.updatedAt <= rootTimeoutMs && advertisement.sequence >= root.sequence - maxSequenceLag;
	}

	#isBetter(advertisement: Advertisement, linkId: string, best: TreePosition): boolean {
		if (advertisement.root !== best.root) {
			return this.#computeRank(advertisement.root) < this.#computeRank(best.root);
		}

		// At equal distance the present parent is kept, to avoid needless changes of the tree.
		return advertisement.hops + 1 < best.hops || (advertisement.hops + 1 === best.hops && linkId === this.#parentLinkId);
	}

	#computeRank(vm: string): number {
		return computeRank(this.#domain, vm);
	}

	#pruneRoots(): void {
		for (const root of this.#roots.keys()) {
			if (this.#roots.size <= maxRoots) {
				return;
			}

			this.#roots.delete(root);
		}
	}
}

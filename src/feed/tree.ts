import type {HeartbeatMessage} from './messages.js';
import {computeRank} from './rendezvous.js';

/** How long a root's count may stand still before the root is taken for gone, in milliseconds. */
const rootTimeoutMs = 3500;
/** How far behind the root's newest count an offer may be. */
const maxSequenceLag = 3;
const maxRoots = 64;
/** How many children an entry welcomes: what it sends grows with each. */
const maxPreferredChildren = 2;
/** Links added to the way offered to further children, so that they look for another parent. */
const surplusChildHops = 3;

type Advertisement = Pick<HeartbeatMessage, 'root' | 'sequence' | 'hops' | 'isChild'>;
type RootRecord = {readonly sequence: number; readonly updatedAt: number};

/** Where the root stands from here. */
export type TreePosition = Pick<HeartbeatMessage, 'root' | 'sequence' | 'hops'>;

/**
The tree over which the facts of one failure domain are spread, so that each entry gets each fact once. The root
is the entry with the lowest rendezvous rank; it raises a count with each beat, and each entry's parent is the
neighbour that offers the newest count over the fewest links. A root or a link that is gone stops the count, and
another root or parent is chosen.
*/
export class BroadcastTree {
	#parentLinkId: string | undefined;
	#position: TreePosition;
	readonly #vm: string;
	readonly #domain: string;
	readonly #advertisements = new Map<string, Advertisement>();
	readonly #roots = new Map<string, RootRecord>();
	#sequence: number;

	/** `sequence` must be higher than at an earlier start of the same VM. */
	constructor(vm: string, domain: string, sequence: number) {
		this.#vm = vm;
		this.#domain = domain;
		this.#sequence = sequence;
		this.#position = {root: vm, sequence, hops: 0};
	}

	/** The root as it is known here. */
	get position(): TreePosition {
		return this.#position;
	}

	/** The link to the parent; `undefined` at the root. */
	get parentLinkId(): string | undefined {
		return this.#parentLinkId;
	}

	/** Raises the own count, once a beat. */
	advance(now: number): void {
		this.#sequence++;
		this.#decideParent(now);
	}

	/** Takes in a neighbour's beat. */
	onAdvertisement(linkId: string, advertisement: Advertisement, now: number): void {
		this.#advertisements.set(linkId, advertisement);
		if (advertisement.root === this.#vm) {
			// Peers remember a higher count from an earlier start.
			this.#sequence = Math.max(this.#sequence, advertisement.sequence);
		} else if (advertisement.sequence > (this.#roots.get(advertisement.root)?.sequence ?? -1)) {
			this.#roots.delete(advertisement.root);
			this.#roots.set(advertisement.root, {sequence: advertisement.sequence, updatedAt: now});
			this.#pruneRoots();
		}

		this.#decideParent(now);
	}

	/** Forgets a link that is closed. */
	onLinkClosed(linkId: string, now: number): void {
		this.#advertisements.delete(linkId);
		this.#decideParent(now);
	}

	/** Asks whether a link belongs to the tree: its other end is this entry's parent or child. */
	isTreeLink(linkId: string): boolean {
		return linkId === this.#parentLinkId || this.#advertisements.get(linkId)?.isChild === true;
	}

	/** Computes the hops to offer over a link: an entry with enough children makes itself look further away. */
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

		// A parent with as few links stays, so that the tree does not change without need.
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

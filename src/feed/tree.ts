import type {BeatMessage} from './messages.js';
import {computeRank} from './rendezvous.js';

/** How long a root's count may stand still before the root is taken for gone, in milliseconds. */
const rootBoundMs = 3500;
/** How far behind the root's newest count an offer may be. */
const offerLag = 3;
const rememberedRoots = 64;
/** How many children an entry welcomes: what it sends grows with each. */
const wantedChildren = 2;
/** Links added to the way offered to further children, so that they look for another parent. */
const fullHops = 3;

type Offer = Pick<BeatMessage, 'root' | 'sequence' | 'hops' | 'isChild'>;
type Root = {readonly sequence: number; readonly at: number};

/** Where the root stands from here. */
export type Beacon = Pick<BeatMessage, 'root' | 'sequence' | 'hops'>;

/**
The tree over which the facts of one failure domain are spread, so that each entry gets each fact once. The root
is the entry with the lowest rendezvous rank; it raises a count with each beat, and each entry's parent is the
neighbour that offers the newest count over the fewest links. A root or a link that is gone stops the count, and
another root or parent is chosen.
*/
export class SpreadTree {
	#parent: string | undefined;
	#beacon: Beacon;
	readonly #vm: string;
	readonly #domain: string;
	readonly #offers = new Map<string, Offer>();
	readonly #roots = new Map<string, Root>();
	#sequence: number;

	/** `sequence` must be higher than at an earlier start of the same VM. */
	constructor(vm: string, domain: string, sequence: number) {
		this.#vm = vm;
		this.#domain = domain;
		this.#sequence = sequence;
		this.#beacon = {root: vm, sequence, hops: 0};
	}

	/** The root as it is known here. */
	get beacon(): Beacon {
		return this.#beacon;
	}

	/** The link to the parent; `undefined` at the root. */
	get parent(): string | undefined {
		return this.#parent;
	}

	/** Raises the own count, once a beat. */
	advance(now: number): void {
		this.#sequence++;
		this.#decideParent(now);
	}

	/** Takes in a neighbour's beat. */
	onOffer(link: string, offer: Offer, now: number): void {
		this.#offers.set(link, offer);
		if (offer.root === this.#vm) {
			// Peers remember a higher count from an earlier start.
			this.#sequence = Math.max(this.#sequence, offer.sequence);
		} else if (offer.sequence > (this.#roots.get(offer.root)?.sequence ?? -1)) {
			this.#roots.delete(offer.root);
			this.#roots.set(offer.root, {sequence: offer.sequence, at: now});
			this.#forgetRoots();
		}

		this.#decideParent(now);
	}

	/** Forgets a link that is closed. */
	onClosed(link: string, now: number): void {
		this.#offers.delete(link);
		this.#decideParent(now);
	}

	/** Asks whether a link belongs to the tree: its other end is this entry's parent or child. */
	isTreeLink(link: string): boolean {
		return link === this.#parent || this.#offers.get(link)?.isChild === true;
	}

	/** Computes the hops to offer over a link: an entry with enough children makes itself look further away. */
	computeHops(link: string): number {
		const children = [...this.#offers].filter(([, offer]) => offer.isChild).map(([child]) => child);
		const isWelcome = children.length < wantedChildren || children.slice(0, wantedChildren).includes(link);
		return this.#beacon.hops + (isWelcome ? 0 : fullHops);
	}

	#decideParent(now: number): void {
		let best: Beacon = {root: this.#vm, sequence: this.#sequence, hops: 0};
		let parent: string | undefined;
		for (const [link, offer] of this.#offers) {
			if (this.#isUsable(offer, now) && this.#isBetter(offer, link, best)) {
				best = {...offer, hops: offer.hops + 1};
				parent = link;
			}
		}

		this.#parent = parent;
		this.#beacon = {root: best.root, sequence: this.#roots.get(best.root)?.sequence ?? best.sequence, hops: best.hops};
	}

	#isUsable(offer: Offer, now: number): boolean {
		const root = this.#roots.get(offer.root);
		return root !== undefined && !offer.isChild
			&& now - root.at <= rootBoundMs && offer.sequence >= root.sequence - offerLag;
	}

	#isBetter(offer: Offer, link: string, best: Beacon): boolean {
		if (offer.root !== best.root) {
			return this.#computeRank(offer.root) < this.#computeRank(best.root);
		}

		// A parent with as few links stays, so that the tree does not change without need.
		return offer.hops + 1 < best.hops || (offer.hops + 1 === best.hops && link === this.#parent);
	}

	#computeRank(vm: string): number {
		return computeRank(this.#domain, vm);
	}

	#forgetRoots(): void {
		for (const root of this.#roots.keys()) {
			if (this.#roots.size <= rememberedRoots) {
				return;
			}

			this.#roots.delete(root);
		}
	}
}

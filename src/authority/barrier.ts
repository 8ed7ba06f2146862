import type {MemberFact} from '../feed/index.js';
import type {VmRecord} from '../store/index.js';

/** What the drain barrier of one upstream is decided from. */
export type BarrierView = {
	readonly upstreamId: string;
	/** Version of the gossip fact that closed the upstream for new requests. */
	readonly version: number;
	/** The domain's VMs on the platform's list; `undefined` until the list has been read once. */
	readonly vms: readonly VmRecord[] | undefined;
	/** What the domain's entries publish about themselves. */
	readonly members: readonly MemberFact[];
	/** Whether something was received lately from a VM's entry. */
	readonly isLive: (vm: string) => boolean;
	/** Whether an operator has confirmed that the VM's process is stopped. */
	readonly isStopped: (vm: string) => boolean;
};

/**
Lists what a drain waits for: every listed VM and every live entry that has not applied the closing version, or that has
requests in progress at the upstream, with their number. Empty when nothing blocks the drain. A listed VM blocks it even
if its entry is silent, unless an operator has confirmed that it is stopped.
*/
export function listDrainBlockers(view: BarrierView): readonly string[] {
	if (view.vms === undefined) {
		return ['the list of VMs'];
	}

	const members = new Map(view.members.map(member => [member.vm, member]));
	const liveVms = view.members.map(member => member.vm).filter(vm => view.isLive(vm));
	const names = new Set([...view.vms.map(({vm}) => vm), ...liveVms]);
	return [...names]
		.filter(vm => !view.isStopped(vm))
		.flatMap(vm => explainMember(vm, members.get(vm), view))
		.sort();
}

function explainMember(vm: string, member: MemberFact | undefined, {upstreamId, version}: BarrierView): readonly string[] {
	const closed = member?.closed[upstreamId];
	if (!closed || closed.version < version) {
		return [vm];
	}

	return closed.running > 0 ? [`${vm} (${closed.running} running)`] : [];
}

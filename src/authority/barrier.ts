import type {MemberFact} from '../feed/index.js';
import type {VmRecord} from '../store/index.js';

/** What the barrier of one upstream is judged by. */
export type BarrierView = {
	readonly upstreamId: string;
	/** Version of the fact that closed the upstream. */
	readonly version: number;
	/** The domain's VMs on the platform's list; `undefined` while it was never read. */
	readonly vms: readonly VmRecord[] | undefined;
	/** What the domain's entries heard from say of themselves. */
	readonly members: readonly MemberFact[];
	/** Asks whether an entry was heard from of late. */
	readonly isLive: (vm: string) => boolean;
	/** Asks whether an operator vouched that the VM is stopped. */
	readonly isStopped: (vm: string) => boolean;
};

/**
Lists for whom a drain waits: every VM of the list and every entry heard from that has not acknowledged the closing
version, or still runs requests there. Empty when all have.
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

import {RandomSource} from '../../src/rates/index.js';
import {faultName} from '../matrix.js';
import type {FaultName} from '../matrix.js';
import type {ConfigurationWorld} from './configurationworld.js';
import {createRequest} from './configurationworld.js';

const slowMs = 1500;
const longestDelayMs = 1200;
const delayCount = 97;

/** Puts a fault on a VM's process or around it; nothing is awaited but the start of it. */
export function startFault(world: ConfigurationWorld, vm: string, fault: FaultName, seed: number): void {
	const entry = world.getEntry(vm);
	const others = [...world.entries.values()].filter(other => other.vm !== vm);
	const actions: Partial<Record<FaultName, () => void>> = {
		[faultName.killBefore]() {
			entry.abort();
		},
		[faultName.killAfter]() {
			entry.abort();
		},
		[faultName.freeze]() {
			entry.stop();
		},
		[faultName.cutPeers]() {
			for (const other of others) {
				world.wires.setFault(entry.address, other.address, 'cut');
				world.wires.setFault(other.address, entry.address, 'cut');
			}
		},
		[faultName.cutOneWay]() {
			for (const other of others) {
				world.wires.setFault(entry.address, other.address, 'cut');
			}
		},
		[faultName.cutPlatform]() {
			entry.store.isDown = true;
			entry.vms.isDown = true;
		},
		[faultName.platformDown]() {
			for (const one of world.entries.values()) {
				one.store.isDown = true;
				one.vms.isDown = true;
			}
		},
		[faultName.platformSlow]() {
			for (const one of world.entries.values()) {
				one.store.delayMs = slowMs;
			}
		},
		[faultName.answerLost]() {
			entry.store.lostAnswers = 1;
		},
		[faultName.operatorRace]() {
			void world.apply('vm-4', createRequest('rival', 1));
		},
		[faultName.silentConnection]() {
			for (const one of world.entries.values()) {
				world.wires.setSilent(one.address);
			}
		},
		[faultName.crossedAnswer]() {
			const random = new RandomSource(seed);
			world.wires.delays = Array.from({length: delayCount}, () => random.getRandom() * longestDelayMs);
		},
	};
	actions[fault]?.();
}

/** Ends a fault: what was cut is joined, what was down is up, and a killed process is started anew with an empty memory. */
export async function stopFault(world: ConfigurationWorld, vm: string, fault: FaultName): Promise<void> {
	world.wires.faults.clear();
	world.wires.delays = [1];
	for (const entry of world.entries.values()) {
		entry.store.isDown = false;
		entry.vms.isDown = false;
		entry.store.delayMs = 0;
		entry.store.lostAnswers = 0;
	}

	if (fault === faultName.freeze) {
		world.getEntry(vm).resume();
	}

	if (fault === faultName.killBefore || fault === faultName.killAfter) {
		await world.startEntry(vm);
	}
}

import type {ReservationRequest} from '../index.js';

/** Creates a reservation request for a short generation with the given changes. */
export function createReservationRequest(changes: Partial<ReservationRequest> = {}): ReservationRequest {
	return {
		service: 'llm',
		targetMs: 120,
		deadlineMs: 1800,
		firstByteTimeoutMs: 2000,
		serviceMs: 40,
		prefixBlocks: [],
		uniqueTokens: 10,
		outputTokens: 10,
		kvCapacityTokens: 1000,
		kvTransferMsPerToken: 0,
		excludedEngines: [],
		...changes,
	};
}

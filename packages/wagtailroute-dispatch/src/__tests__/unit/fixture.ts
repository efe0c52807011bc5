/**
Candidates, slot requests and dispatchers with default values for the tests.
*/
import * as utils from 'wagtailroute-utils';
import * as dispatch from '../../index.ts';

export const SERVICE = 'archive';
const BUDGET = {ratio: 0.2, extra: 60, windowMilliseconds: 10_000};

/**
A healthy upstream with two slots.
*/
export function createCandidate(upstream: string, changes: Partial<dispatch.Candidate> = {}): dispatch.Candidate {
	return {
		upstream,
		address: {ip: '10.0.0.1', port: 80},
		failureDomain: 'x',
		slots: 2,
		isDraining: false,
		isSilent: false,
		warmAt: 0,
		...changes,
	};
}

/**
A first attempt of a non-idempotent request.
*/
export function createSlotRequest(id: string, changes: Partial<dispatch.SlotRequest> = {}): dispatch.SlotRequest {
	return {
		id,
		host: 'host',
		failureDomain: 'x',
		service: SERVICE,
		route: 'route',
		requestClass: 'non-idempotent',
		priority: 1,
		remainingMilliseconds: 2000,
		objectiveMilliseconds: 1000,
		excluded: [],
		isResend: false,
		isMove: false,
		waitedMilliseconds: 0,
		...changes,
	};
}

/**
A dispatcher that knows some upstreams of the service.
*/
export function createDispatcher(candidates: readonly dispatch.Candidate[], settings: Partial<dispatch.DispatcherSettings> = {}): dispatch.Dispatcher {
	const dispatcher = dispatch.createDispatcher({
		budget: BUDGET, floor: 0.7, random: utils.createRandom(1), ...settings,
	});
	dispatcher.setCandidates(SERVICE, candidates, 0);
	return dispatcher;
}

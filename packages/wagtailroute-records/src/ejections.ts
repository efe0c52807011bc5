/**
Ejection grants of one service.

Hosts that decide independently can together eject more than the healthy floor allows, because each sees only its own few
ejections. Therefore the replica group grants ejections. An upstream counts as serving if the requesting host and most hosts
with a recent report list it, and no host lists it as draining. A host acts on the ejection table under a lease. A
readmitted upstream counts as ejected until the leases of all hosts that missed the readmission have expired.
*/
import {getEjectionAllowance, getRequiredHealthy} from './allowance.ts';
import {ABSENT_EJECTION_EXPIRY_MILLISECONDS, EJECTION_LINGER_MILLISECONDS, UPSTREAM_VIEW_EXPIRY_MILLISECONDS} from './constants.ts';
import {
	getAgreedUpstreams,
	getStrictestFloor,
	type ReportedView,
	type UpstreamView,
} from './upstream-views.ts';

/**
Requests an ejection. `badness` orders upstreams for readmission when the healthy floor must be restored: the lowest first.
*/
export type EjectionRequest = UpstreamView & {
	readonly upstream: string;
	readonly badness: number;
};

/**
An ejection in force.
*/
export type Ejection = {
	readonly upstream: string;
	/**
	Identifies the grant, and increases with each grant in the service. A readmission names the epoch that it ends.
	*/
	readonly epoch: number;
	readonly badness: number;
	readonly grantedAt: number;
	/**
	Group time since which no majority of hosts lists the upstream as serving.
	*/
	readonly absentSince?: number;
};

/**
Result of a request. `floor`: the ejection would break the healthy floor. `not-serving`: the upstream does not count as
serving. `settling`: see `settlingUntil` of the state.
*/
export type EjectionResult =
	| {readonly kind: 'granted'; readonly epoch: number}
	| {readonly kind: 'refused'; readonly reason: 'floor' | 'not-serving' | 'settling'};

/**
A change of the ejection table, to be sent to hosts.
*/
export type EjectionNotice = {
	readonly kind: 'ejected' | 'readmitted';
	readonly upstream: string;
	/**
	The epoch of the grant that began or ended.
	*/
	readonly epoch: number;
	/**
	The version of the service's table after the change. A host that misses a version reads the whole table.
	*/
	readonly version: number;
};

/**
The ejections of one service as plain JSON.
*/
export type EjectionState = {
	/**
	Number of changes of the table. The epoch of a grant is the version that it created.
	*/
	readonly version: number;
	/**
	Group time before which no ejection is granted: after a loss of state, hosts may still act on the lost table.
	*/
	readonly settlingUntil: number;
	readonly ejected: readonly Ejection[];
	/**
	Readmitted upstreams, with the group time until which they count as ejected.
	*/
	readonly lingering: ReadonlyArray<{readonly upstream: string; readonly until: number}>;
	readonly views: readonly ReportedView[];
};

/**
The state after a command, and the changes to be sent to hosts.
*/
export type EjectionChange = {
	readonly state: EjectionState;
	readonly notices: readonly EjectionNotice[];
};

/**
Creates the state of a service without ejections.
*/
export function createEjectionState(settlingUntil: number): EjectionState {
	return {
		version: 0, settlingUntil, ejected: [], lingering: [], views: [],
	};
}

/**
Records a host's view of the upstreams, and readmits upstreams where the healthy floor requires it.
*/
export function applyUpstreamView(state: EjectionState, view: UpstreamView, time: number): EjectionChange {
	const {host, serving, draining, healthyFloor} = view;
	const fresh = state.views.filter(other => other.host !== host && other.reportedAt + UPSTREAM_VIEW_EXPIRY_MILLISECONDS > time);
	const reported: ReportedView = {
		host, serving, draining, healthyFloor, reportedAt: time,
	};
	const updated = {...expireEjections(state, time), views: [...fresh, reported]};
	return restoreFloor(updateAbsences(updated, time), time);
}

/**
Grants an ejection if the healthy floor allows it. A repeated request for an ejected upstream returns the same grant.
*/
export function applyEjectionRequest(
	previous: EjectionState,
	request: EjectionRequest,
	time: number,
): EjectionChange & {readonly result: EjectionResult} {
	const {state, notices} = applyUpstreamView(previous, request, time);
	const {upstream, badness} = request;
	const existing = state.ejected.find(ejection => ejection.upstream === upstream);
	if (existing !== undefined) {
		return {state, notices, result: {kind: 'granted', epoch: existing.epoch}};
	}

	const reason = getEjectionRefusal(state, request, time);
	if (reason !== undefined) {
		return {state, notices, result: {kind: 'refused', reason}};
	}

	const epoch = state.version + 1;
	const ejection: Ejection = {
		upstream, epoch, badness, grantedAt: time,
	};
	return {
		state: {
			...state,
			version: epoch,
			ejected: [...state.ejected, ejection],
			lingering: state.lingering.filter(linger => linger.upstream !== upstream),
		},
		notices: [...notices, {
			kind: 'ejected', upstream, epoch, version: epoch,
		}],
		result: {kind: 'granted', epoch},
	};
}

/**
Ends an ejection. A readmission that arrives late and names an earlier grant changes nothing.
*/
export function readmit(
	state: EjectionState,
	{upstream, epoch}: {readonly upstream: string; readonly epoch: number},
	time: number,
): EjectionChange {
	const ejection = state.ejected.find(existing => existing.upstream === upstream && existing.epoch === epoch);
	return ejection === undefined ? {state, notices: []} : endEjection(state, ejection, time);
}

function getEjectionRefusal(
	state: EjectionState,
	request: EjectionRequest,
	time: number,
): 'floor' | 'not-serving' | 'settling' | undefined {
	if (time < state.settlingUntil) {
		return 'settling';
	}

	const {serving, draining} = getAgreedUpstreams(state.views, request);
	if (!serving.has(request.upstream)) {
		return 'not-serving';
	}

	const outOfService = new Set([
		...state.ejected.map(({upstream}) => upstream),
		...state.lingering.map(({upstream}) => upstream),
	]);
	// The upstream may be in `lingering` after an earlier ejection: ejecting it again removes no further capacity.
	outOfService.delete(request.upstream);
	const ejected = [...outOfService].filter(upstream => serving.has(upstream)).length;
	const counts = {serving: serving.size - ejected, ejected, draining: draining.size};
	const allowance = getEjectionAllowance({...counts, healthyFloor: getStrictestFloor(state.views, counts)});
	return allowance > 0 ? undefined : 'floor';
}

// An upstream that leaves while ejected does not allow another ejection: it counts neither as serving nor as ejected, and is
// still ejected when it returns. Otherwise a failing upstream could return to service by announcing itself again.
function updateAbsences(state: EjectionState, time: number): EjectionState {
	const {serving} = getAgreedUpstreams(state.views);
	const ejected = state.ejected
		.map(ejection => updateAbsence(ejection, serving.has(ejection.upstream), time))
		.filter(({absentSince}) => absentSince === undefined || absentSince + ABSENT_EJECTION_EXPIRY_MILLISECONDS > time);
	return {...state, ejected};
}

function updateAbsence({absentSince, ...ejection}: Ejection, isServing: boolean, time: number): Ejection {
	return isServing ? ejection : {...ejection, absentSince: absentSince ?? time};
}

// Healthy upstreams can leave after ejections were granted. Then the ejected upstreams with the lowest badness are readmitted.
function restoreFloor(previous: EjectionState, time: number): EjectionChange {
	const {serving, draining} = getAgreedUpstreams(previous.views);
	const presentEjections = previous.ejected.filter(({upstream}) => serving.has(upstream));
	const healthy = serving.size - presentEjections.length;
	const counts = {serving: healthy, ejected: presentEjections.length, draining: draining.size};
	const shortfall = getRequiredHealthy({...counts, healthyFloor: getStrictestFloor(previous.views, counts)}) - healthy;
	const readmissions = presentEjections
		.toSorted(compareBadness)
		.slice(0, Math.max(0, shortfall));
	let state = previous;
	const notices: EjectionNotice[] = [];
	for (const ejection of readmissions) {
		const change = endEjection(state, ejection, time);
		state = change.state;
		notices.push(...change.notices);
	}

	return {state, notices};
}

function compareBadness(left: Ejection, right: Ejection): number {
	return left.badness === right.badness ? left.epoch - right.epoch : left.badness - right.badness;
}

function endEjection(state: EjectionState, {upstream, epoch}: Ejection, time: number): EjectionChange {
	const version = state.version + 1;
	return {
		state: {
			...state,
			version,
			ejected: state.ejected.filter(ejection => ejection.upstream !== upstream),
			lingering: [...state.lingering, {upstream, until: time + EJECTION_LINGER_MILLISECONDS}],
		},
		notices: [{
			kind: 'readmitted', upstream, epoch, version,
		}],
	};
}

/**
Removes readmitted upstreams that no longer count as ejected at the group time.
*/
export function expireEjections(state: EjectionState, time: number): EjectionState {
	const lingering = state.lingering.filter(({until}) => until > time);
	return lingering.length === state.lingering.length ? state : {...state, lingering};
}

/**
Adds `shift` to all times of the state, when a replica group with another group time adopts the service.
*/
export function shiftEjectionTimes(state: EjectionState, shift: number): EjectionState {
	return {
		...state,
		settlingUntil: state.settlingUntil + shift,
		ejected: state.ejected.map(({absentSince, ...ejection}) => ({
			...ejection,
			grantedAt: ejection.grantedAt + shift,
			...(absentSince !== undefined && {absentSince: absentSince + shift}),
		})),
		lingering: state.lingering.map(({upstream, until}) => ({upstream, until: until + shift})),
		views: state.views.map(view => ({...view, reportedAt: view.reportedAt + shift})),
	};
}

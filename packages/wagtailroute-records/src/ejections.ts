/**
Ejection grants of one service.

Hosts that decide alone can together eject more than the floor allows: each sees its own few ejections. So an ejection is
a grant of the cell. What counts as serving is what the asking host and most of the hosts that reported lately list, and
what nobody lists as draining. A host acts on the table under a lease; an upstream that was readmitted keeps counting as
ejected until every host that missed the readmission has let its lease run out.
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
Asks to eject. `badness` orders upstreams for readmission when the floor must be restored: least bad first.
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
	Larger for each later grant in the service; a readmission names the grant that it ends.
	*/
	readonly epoch: number;
	readonly badness: number;
	readonly grantedAt: number;
	/**
	Group time since which no majority of hosts lists the upstream.
	*/
	readonly absentSince?: number;
};

/**
Answer to a request.
*/
export type EjectionResult =
	| {readonly kind: 'granted'; readonly epoch: number}
	| {readonly kind: 'refused'; readonly reason: 'floor' | 'not-serving' | 'settling'};

/**
A change that hosts must learn of.
*/
export type EjectionNotice = {
	readonly kind: 'ejected' | 'readmitted';
	readonly upstream: string;
	/**
	The grant that began or ended.
	*/
	readonly epoch: number;
	/**
	Counts the changes of the service's table: a host that misses one reads the whole table.
	*/
	readonly version: number;
};

/**
The ejections of one service as plain JSON.
*/
export type EjectionState = {
	/**
	Counts changes; a grant's epoch is the version that it made.
	*/
	readonly version: number;
	/**
	Group time before which nothing is granted: hosts may still act on the table of a cell that was lost.
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
A change of the state with what hosts must learn.
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
Takes a host's view, and readmits what the floor needs.
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
Grants an ejection where the floor allows it. Asking again for an ejected upstream gives the same grant.
*/
export function applyEjectionRequest(
	before: EjectionState,
	request: EjectionRequest,
	time: number,
): EjectionChange & {readonly result: EjectionResult} {
	const {state, notices} = applyUpstreamView(before, request, time);
	const {upstream, badness} = request;
	const known = state.ejected.find(ejection => ejection.upstream === upstream);
	if (known !== undefined) {
		return {state, notices, result: {kind: 'granted', epoch: known.epoch}};
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
Ends an ejection. A late readmission of an earlier grant changes nothing.
*/
export function readmit(
	state: EjectionState,
	{upstream, epoch}: {readonly upstream: string; readonly epoch: number},
	time: number,
): EjectionChange {
	const ejection = state.ejected.find(known => known.upstream === upstream && known.epoch === epoch);
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
	// The asked upstream may linger from an earlier ejection: ejecting it again takes no further capacity.
	outOfService.delete(request.upstream);
	const ejected = [...outOfService].filter(upstream => serving.has(upstream)).length;
	const counts = {serving: serving.size - ejected, ejected, draining: draining.size};
	const allowance = getEjectionAllowance({...counts, healthyFloor: getStrictestFloor(state.views, counts)});
	return allowance > 0 ? undefined : 'floor';
}

// An upstream that leaves while ejected frees no place: it counts neither as serving nor as ejected, and is still ejected
// when it comes back. Otherwise a sick upstream would return by announcing itself anew.
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

// Healthy upstreams can leave after ejections were granted. Then the least bad of the ejected come back first.
function restoreFloor(before: EjectionState, time: number): EjectionChange {
	const {serving, draining} = getAgreedUpstreams(before.views);
	const present = before.ejected.filter(({upstream}) => serving.has(upstream));
	const healthy = serving.size - present.length;
	const counts = {serving: healthy, ejected: present.length, draining: draining.size};
	const missing = getRequiredHealthy({...counts, healthyFloor: getStrictestFloor(before.views, counts)}) - healthy;
	const returning = present
		.toSorted(compareBadness)
		.slice(0, Math.max(0, missing));
	let state = before;
	const notices: EjectionNotice[] = [];
	for (const ejection of returning) {
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
Drops what has run out by the group time.
*/
export function expireEjections(state: EjectionState, time: number): EjectionState {
	const lingering = state.lingering.filter(({until}) => until > time);
	return lingering.length === state.lingering.length ? state : {...state, lingering};
}

/**
Moves all times of the state, when a cell with another group time takes over the service.
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

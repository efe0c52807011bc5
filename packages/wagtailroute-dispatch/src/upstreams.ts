/**
State of one upstream at a dispatcher: the slots held, its slowness, the doubt against it, and the risk that follows from them.
*/
import type * as core from 'wagtailroute-core';
import type {
	BackoffUpdate,
	Candidate,
	Ending,
	HeldSlotReport,
	SlotRequest,
} from './slot-requests.ts';
import {
	MAX_PRIOR,
	MAX_SLOWNESS,
	MILLISECONDS_PER_SECOND,
	MIN_PRIOR,
	MIN_SLOWNESS,
} from './constants.ts';
import type {Policy} from './policy.ts';
import type {UpstreamRateLimit} from './upstream-rate-limit.ts';

/**
A slot that a granted request holds until its end.
*/
export type HeldSlot = {
	readonly id: string;
	readonly host: core.HostId;
	readonly service: core.ServiceName;
	readonly upstream: core.UpstreamId;
	readonly route: string;
	/**
	The granted slot request; absent when the slot was reported by its entry host.
	*/
	readonly request?: SlotRequest;
	readonly grantedAt: number;
	readonly deadlineAt: number;
	readonly usualMilliseconds: number;
	readonly isTrial: boolean;
};

/**
An upstream. It is changed in place, only by the dispatcher and the functions of this package.
*/
export type Upstream = {
	readonly policy: Policy;
	candidate: Candidate;
	readonly heldSlots: Map<string, HeldSlot>;
	readonly createdAt: number;
	/**
	Time of the last grant.
	*/
	lastGrantedAt: number;
	/**
	Value at `doubtUpdatedAt`; {@link getDoubt} returns the present value, which decays.
	*/
	doubt: number;
	doubtUpdatedAt: number;
	lastFailureAt: number;
	slowness: number;
	slownessUpdatedAt: number;
	lastSuccessAt: number;
	/**
	No request is granted before this time.
	*/
	closedUntil: number;
	/**
	Time of the next trial while suspended.
	*/
	nextTrialAt: number;
	failedTrials: number;
	/**
	Entry hosts whose network path to the upstream may be broken, with the time until which they send no requests.
	*/
	readonly suspectPaths: Map<core.HostId, number>;
	/**
	Entry hosts that the upstream asked to send no requests, with the time until which they comply.
	*/
	readonly backoffs: Map<core.HostId, number>;
	/**
	Whether another instance answered at its address.
	*/
	isMisdirected: boolean;
	/**
	Whether its answers announced draining; its heartbeats may not say so.
	*/
	isDraining: boolean;
	/**
	Absent while its answers advertise none.
	*/
	rateLimit?: UpstreamRateLimit;
};

/**
Creates an upstream without any evidence against it.
*/
export function createUpstream(candidate: Candidate, policy: Policy, now: number): Upstream {
	return {
		policy,
		candidate,
		heldSlots: new Map(),
		createdAt: now,
		lastGrantedAt: -Infinity,
		doubt: 0,
		doubtUpdatedAt: now,
		lastFailureAt: -Infinity,
		slowness: candidate.warmAt > now ? policy.coldSlowness : 1,
		slownessUpdatedAt: now,
		lastSuccessAt: -Infinity,
		closedUntil: -Infinity,
		nextTrialAt: -Infinity,
		failedTrials: 0,
		suspectPaths: new Map(),
		backoffs: new Map(),
		isMisdirected: false,
		isDraining: false,
	};
}

/**
Returns the doubt. It decays, unless the upstream's heartbeats are missing.
*/
export function getDoubt(upstream: Upstream, now: number): number {
	return upstream.candidate.isSilent ? upstream.doubt : decayDoubt(upstream.policy, upstream.doubt, now - upstream.doubtUpdatedAt);
}

/**
Returns what is left of a doubt after some milliseconds.
*/
export function decayDoubt({fadingDoubt}: Policy, doubt: number, milliseconds: number): number {
	return Math.max(0, doubt - (milliseconds / MILLISECONDS_PER_SECOND * fadingDoubt));
}

/**
Sets the doubt, limited to the bounds of the policy.
*/
export function setDoubt(upstream: Upstream, doubt: number, now: number): void {
	upstream.doubt = Math.min(upstream.policy.mostDoubt, Math.max(0, doubt));
	upstream.doubtUpdatedAt = now;
}

/**
Sets the doubt to the value of another dispatcher, and delays the next trial by the policy's maximum. The other dispatcher continues its trials or has just done
the last one. Without the delay, every host that dispatches alone would immediately send a trial, which may be a non-idempotent request.
*/
export function applyReportedDoubt(upstream: Upstream, doubt: number, now: number): void {
	setDoubt(upstream, doubt, now);
	upstream.nextTrialAt = now + upstream.policy.trialMostMilliseconds;
}

function hasFreeSlot({heldSlots, candidate}: Upstream): boolean {
	return heldSlots.size < candidate.slots;
}

/**
Returns whether another request may be sent now: a slot is free and the rate limit allows it.
*/
export function hasCapacity(upstream: Upstream, now: number): boolean {
	return hasFreeSlot(upstream) && upstream.rateLimit?.hasToken(now) !== false;
}

/**
Returns the average number of slots that can be in use. A rate limit may leave some of them unused.

@param usualMilliseconds Usual duration of a request.
*/
export function countSlots({candidate, rateLimit}: Upstream, usualMilliseconds: number): number {
	return Math.min(candidate.slots, rateLimit?.getConcurrency(usualMilliseconds) ?? Infinity);
}

/**
Returns whether the upstream is in service: it is not draining, and no other instance uses its address.
*/
export function isServing({candidate, isMisdirected, isDraining}: Upstream): boolean {
	return !candidate.isDraining && !isDraining && !isMisdirected;
}

/**
Returns whether the upstream holds no request and got none for more than some milliseconds.
*/
export function isIdle({heldSlots, lastGrantedAt, createdAt}: Upstream, milliseconds: number, now: number): boolean {
	return heldSlots.size === 0 && now - Math.max(lastGrantedAt, createdAt) > milliseconds;
}

/**
Returns whether the upstream gets trials only.
*/
export function isSuspended(upstream: Upstream, now: number): boolean {
	return getDoubt(upstream, now) >= upstream.policy.suspendedDoubt;
}

/**
Returns the slowness: the response time as a multiple of the usual one. Older measurements have less weight.
*/
export function getSlowness(upstream: Upstream, now: number): number {
	const weight = Math.exp((upstream.slownessUpdatedAt - now) / upstream.policy.slownessMilliseconds);
	const measured = 1 + ((upstream.slowness - 1) * weight);
	return now < upstream.candidate.warmAt ? Math.max(upstream.policy.coldSlowness, measured) : measured;
}

/**
Returns the risk, the probability that the upstream is in a failure period, 0 to 1. It follows from the doubt, the time since the last success, and
the age of each request in progress. A request in progress for twice the usual time counts more than one that has just begun, and several count more
than one. A request that became late before a later success doesn't count: its network path may be the cause.
*/
export function getRisk(upstream: Upstream, now: number): number {
	const {policy, lastSuccessAt, createdAt} = upstream;
	const idleRisk = Math.min(1, policy.spellsPerSecond * (now - Math.max(lastSuccessAt, createdAt)) / MILLISECONDS_PER_SECOND);
	const prior = Math.min(MAX_PRIOR, Math.max(MIN_PRIOR, idleRisk));
	let odds = prior / (1 - prior) * Math.exp(getDoubt(upstream, now));
	for (const heldSlot of upstream.heldSlots.values()) {
		const survival = 1 / (1 + (((now - heldSlot.grantedAt) / heldSlot.usualMilliseconds) ** policy.survivalSteepness));
		const isOvertaken = lastSuccessAt > heldSlot.grantedAt + heldSlot.usualMilliseconds;
		// Ratio of the likelihoods that the request is still in progress, with and without a failure period.
		odds *= isOvertaken ? 1 : (policy.harmedPart + ((1 - policy.harmedPart) * survival)) / survival;
	}

	return odds / (1 + odds);
}

/**
Returns whether a request has been in progress for so long that its network path may be broken.
*/
function isOverdue({policy}: Upstream, heldSlot: HeldSlot, now: number): boolean {
	return now - heldSlot.grantedAt > Math.max(policy.overdueMilliseconds, policy.overdueRatio * heldSlot.usualMilliseconds);
}

/**
Returns whether the network path from an entry host may be broken: one of its requests is overdue, or was not answered a short time ago.
*/
export function isPathSuspect(upstream: Upstream, host: core.HostId, now: number): boolean {
	if ((upstream.suspectPaths.get(host) ?? -Infinity) > now) {
		return true;
	}

	for (const heldSlot of upstream.heldSlots.values()) {
		if (heldSlot.host === host && isOverdue(upstream, heldSlot, now)) {
			return true;
		}
	}

	return false;
}

/**
Records until when an entry host sends no requests to the upstream. Returns whether no backoff of the entry host was in force before.
*/
export function recordBackoff({backoffs}: Upstream, host: core.HostId, until: number, now: number): boolean {
	for (const [other, time] of backoffs) {
		if (time <= now) {
			backoffs.delete(other);
		}
	}

	const before = backoffs.get(host);
	backoffs.set(host, Math.max(before ?? 0, until));
	return before === undefined;
}

/**
Returns the milliseconds for which an entry host must send no more requests to the upstream; 0 without a backoff.
*/
export function getBackoff({backoffs}: Upstream, host: core.HostId, now: number): number {
	return Math.max(0, (backoffs.get(host) ?? now) - now);
}

/**
Lists the backoffs in force as updates for other dispatchers.
*/
export function listBackoffs({backoffs, candidate: {upstream}}: Upstream, now: number): readonly BackoffUpdate[] {
	return backoffs.entries().filter(([, until]) => until > now).map(([host, until]): BackoffUpdate => ({
		kind: 'backoff', upstream, host, remainingMilliseconds: until - now,
	})).toArray();
}

/**
What an ending says about its upstream.
*/
type Evidence = {
	readonly doubt: number;
	/**
	Upper bound of the doubt that this ending can bring the upstream to.
	*/
	readonly maxDoubt?: number;
	/**
	Whether the ending counts against the network path between the entry host and the upstream.
	*/
	readonly isPathEvidence?: boolean;
	readonly closedMilliseconds?: number;
};

const EVIDENCE_BY_ENDING: Readonly<Record<Ending, (policy: Policy) => Evidence>> = {
	success: policy => ({doubt: -policy.successDoubt}),
	error: policy => ({doubt: policy.errorDoubt}),
	reset: policy => ({doubt: policy.resetDoubt}),
	refused: policy => ({doubt: policy.refusedDoubt}),
	unreachable: policy => ({doubt: policy.silenceDoubt, isPathEvidence: true}),
	timeout: policy => ({doubt: policy.silenceDoubt, isPathEvidence: true}),
	overdue: policy => ({doubt: policy.overdueDoubt}),
	shed: policy => ({doubt: policy.shedDoubt, maxDoubt: policy.mostShedDoubt, closedMilliseconds: policy.shedMilliseconds}),
	misdirected: policy => ({doubt: policy.mostDoubt}),
	cancelled: () => ({doubt: 0}),
	unused: () => ({doubt: 0}),
};

/**
Applies the ending of a request to the doubt, the trials and the suspect paths of its upstream.
*/
export function applyEnding(upstream: Upstream, heldSlot: HeldSlot, ending: Ending, now: number): void {
	const {doubt, maxDoubt = Infinity, isPathEvidence = false, closedMilliseconds = 0} = EVIDENCE_BY_ENDING[ending](upstream.policy);
	const wasSuspended = isSuspended(upstream, now);
	const before = getDoubt(upstream, now);
	const after = Math.min(maxDoubt, before + doubt);
	setDoubt(upstream, doubt > 0 ? Math.max(before, after) : after, now);
	upstream.closedUntil = Math.max(upstream.closedUntil, now + closedMilliseconds);
	upstream.isMisdirected ||= ending === 'misdirected';
	if (isPathEvidence) {
		upstream.suspectPaths.set(heldSlot.host, now + upstream.policy.pathMilliseconds);
	}

	if (ending === 'success') {
		upstream.lastSuccessAt = now;
		upstream.suspectPaths.delete(heldSlot.host);
		upstream.nextTrialAt = now;
		upstream.failedTrials = 0;
	} else if (doubt > 0) {
		upstream.lastFailureAt = now;
	}

	if (doubt <= 0 || !isSuspended(upstream, now)) {
		return;
	}

	upstream.failedTrials = wasSuspended && heldSlot.isTrial ? upstream.failedTrials + 1 : upstream.failedTrials;
	upstream.nextTrialAt = now + Math.min(upstream.policy.trialMostMilliseconds, upstream.policy.trialLeastMilliseconds * (2 ** upstream.failedTrials));
}

/**
Updates the slowness with the response time of a request.
*/
export function recordResponseTime(upstream: Upstream, heldSlot: HeldSlot, milliseconds: number, now: number): void {
	const measuredSlowness = Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, milliseconds / heldSlot.usualMilliseconds));
	upstream.slowness = (getSlowness(upstream, now) * (1 - upstream.policy.slownessShare)) + (measuredSlowness * upstream.policy.slownessShare);
	upstream.slownessUpdatedAt = now;
}

/**
Creates the slot that an entry host reports as held.
*/
export function createHeldSlot(held: HeldSlotReport, usualMilliseconds: number, now: number): HeldSlot {
	return {
		id: held.id,
		host: held.host,
		service: held.service,
		upstream: held.upstream,
		route: held.route,
		grantedAt: now - held.ageMilliseconds,
		deadlineAt: now + held.remainingMilliseconds,
		usualMilliseconds,
		isTrial: false,
	};
}

/**
What a dispatcher knows of one upstream: its places taken, how slow it is, and how much speaks against it.
*/
import type * as core from 'wagtailroute-core';
import type {
	SlotRequest,
	BackoffUpdate,
	Candidate,
	Ending,
	HeldSlotReport,
} from './slot-requests.ts';
import {
	MIN_PRIOR,
	MILLISECONDS_PER_SECOND,
	MAX_PRIOR,
	MIN_SLOWNESS,
	MAX_SLOWNESS,
} from './constants.ts';
import type {Policy} from './policy.ts';
import type {UpstreamRateLimit} from './upstream-rate-limit.ts';

/**
A place that is taken.
*/
export type HeldSlot = {
	readonly id: string;
	readonly host: core.HostId;
	readonly service: core.ServiceName;
	readonly upstream: core.UpstreamId;
	readonly route: string;
	/**
	The ask that it was granted to; absent when a host told it.
	*/
	readonly request?: SlotRequest;
	readonly grantedAt: number;
	readonly deadlineAt: number;
	readonly usualMilliseconds: number;
	readonly isTrial: boolean;
};

/**
An upstream, changed in place by the functions of this module only.
*/
export type Upstream = {
	readonly policy: Policy;
	candidate: Candidate;
	readonly heldSlots: Map<string, HeldSlot>;
	readonly createdAt: number;
	/**
	Time of the last request that was sent there.
	*/
	lastGrantedAt: number;
	/**
	Read it by {@link getDoubt}: it fades.
	*/
	doubt: number;
	doubtUpdatedAt: number;
	lastFailureAt: number;
	slowness: number;
	slownessUpdatedAt: number;
	lastSuccessAt: number;
	/**
	Nothing is sent before this time.
	*/
	closedUntil: number;
	/**
	Time of the next trial while suspended.
	*/
	nextTrialAt: number;
	failedTrials: number;
	/**
	Hosts whose path here is at fault, with the time until which they send nothing.
	*/
	readonly suspectPaths: Map<core.HostId, number>;
	/**
	Hosts that it asked to send nothing, with the time until which they do.
	*/
	readonly backoffs: Map<core.HostId, number>;
	/**
	Another instance answered at its address.
	*/
	isMisdirected: boolean;
	/**
	Its answers say so, whatever its heartbeats say.
	*/
	isDraining: boolean;
	/**
	Absent when its answers advertise none.
	*/
	rateLimit?: UpstreamRateLimit;
};

/**
Creates the record of an upstream that nothing speaks against.
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
Returns what speaks against it. Doubt fades unless the upstream is silent as well.
*/
export function getDoubt(upstream: Upstream, now: number): number {
	return upstream.candidate.isSilent ? upstream.doubt : decayDoubt(upstream.policy, upstream.doubt, now - upstream.doubtUpdatedAt);
}

/**
Returns what is left of doubt after a while.
*/
export function decayDoubt({fadingDoubt}: Policy, doubt: number, milliseconds: number): number {
	return Math.max(0, doubt - (milliseconds / MILLISECONDS_PER_SECOND * fadingDoubt));
}

/**
Sets what speaks against it.
*/
export function setDoubt(upstream: Upstream, doubt: number, now: number): void {
	upstream.doubt = Math.min(upstream.policy.mostDoubt, Math.max(0, doubt));
	upstream.doubtUpdatedAt = now;
}

/**
Takes another dispatcher's word of what speaks against it. That one goes on with trials, or has just done the last one: this one waits
longest before its first. Without the wait, every host that dispatches alone would at once send a request there that may not be repeated.
*/
export function applyReportedDoubt(upstream: Upstream, doubt: number, now: number): void {
	setDoubt(upstream, doubt, now);
	upstream.nextTrialAt = now + upstream.policy.trialMostMilliseconds;
}

/**
Says whether a request more fits in.
*/
function hasFreeSlot({heldSlots, candidate}: Upstream): boolean {
	return heldSlots.size < candidate.slots;
}

/**
Says whether another request may be sent now: a slot is free and the rate limit has a token.
*/
export function hasCapacity(upstream: Upstream, now: number): boolean {
	return hasFreeSlot(upstream) && upstream.rateLimit?.hasToken(now) !== false;
}

/**
Returns the average number of slots that can be in use; a rate limit may leave some of them idle.

@param usualMilliseconds Duration of a request.
*/
export function countSlots({candidate, rateLimit}: Upstream, usualMilliseconds: number): number {
	return Math.min(candidate.slots, rateLimit?.getConcurrency(usualMilliseconds) ?? Infinity);
}

/**
Says whether it serves at all: it does not leave, and its address is its own.
*/
export function isServing({candidate, isMisdirected, isDraining}: Upstream): boolean {
	return !candidate.isDraining && !isDraining && !isMisdirected;
}

/**
Says whether it has had no request for a while.
*/
export function isIdle({heldSlots, lastGrantedAt, createdAt}: Upstream, milliseconds: number, now: number): boolean {
	return heldSlots.size === 0 && now - Math.max(lastGrantedAt, createdAt) > milliseconds;
}

/**
Says whether it gets trials only.
*/
export function isSuspended(upstream: Upstream, now: number): boolean {
	return getDoubt(upstream, now) >= upstream.policy.suspendedDoubt;
}

/**
Returns how many times as long as usual its requests take. What was measured long ago counts for less.
*/
export function getSlowness(upstream: Upstream, now: number): number {
	const weight = Math.exp((upstream.slownessUpdatedAt - now) / upstream.policy.slownessMilliseconds);
	const measured = 1 + ((upstream.slowness - 1) * weight);
	return now < upstream.candidate.warmAt ? Math.max(upstream.policy.coldSlowness, measured) : measured;
}

/**
Returns the probability that the upstream is in a bad spell, 0 to 1: from what was seen of ended requests, the time since the last one that was
served, and the age of each that is under way. A request that lasts twice as long as usual says more than one that has just begun, and
several at once more than one. What began before a later one was served says nothing: its path may be at fault.
*/
export function getRisk(upstream: Upstream, now: number): number {
	const {policy, lastSuccessAt, createdAt} = upstream;
	const quiet = Math.min(1, policy.spellsPerSecond * (now - Math.max(lastSuccessAt, createdAt)) / MILLISECONDS_PER_SECOND);
	const prior = Math.min(MAX_PRIOR, Math.max(MIN_PRIOR, quiet));
	let odds = prior / (1 - prior) * Math.exp(getDoubt(upstream, now));
	for (const heldSlot of upstream.heldSlots.values()) {
		const survival = 1 / (1 + (((now - heldSlot.grantedAt) / heldSlot.usualMilliseconds) ** policy.survivalSteepness));
		const isOvertaken = lastSuccessAt > heldSlot.grantedAt + heldSlot.usualMilliseconds;
		odds *= isOvertaken ? 1 : (policy.harmedPart + ((1 - policy.harmedPart) * survival)) / survival;
	}

	return odds / (1 + odds);
}

/**
Says whether a request lasts so long that its path may be at fault.
*/
function isOverdue({policy}: Upstream, heldSlot: HeldSlot, now: number): boolean {
	return now - heldSlot.grantedAt > Math.max(policy.overdueMilliseconds, policy.overdueRatio * heldSlot.usualMilliseconds);
}

/**
Says whether a request of this host hangs there, or lately hung.
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
Records until when a host sends nothing to the upstream. Returns whether the host sent until now.
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
Returns the milliseconds for which a host sends nothing more to the upstream.
*/
export function getBackoff({backoffs}: Upstream, host: core.HostId, now: number): number {
	return Math.max(0, (backoffs.get(host) ?? now) - now);
}

/**
Lists the hosts that send nothing, as updates.
*/
export function listBackoffs({backoffs, candidate: {upstream}}: Upstream, now: number): readonly BackoffUpdate[] {
	return backoffs.entries().filter(([, until]) => until > now).map(([host, until]): BackoffUpdate => ({
		kind: 'backoff', upstream, host, remainingMilliseconds: until - now,
	})).toArray();
}

/**
What an ending does.
*/
type Evidence = {
	readonly doubt: number;
	/**
	It brings doubt no higher than this.
	*/
	readonly maxDoubt?: number;
	/**
	The path between the host and the upstream may be at fault.
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
Takes the ending of a request as evidence.
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
Takes the time of a request as a measurement of slowness.
*/
export function recordResponseTime(upstream: Upstream, heldSlot: HeldSlot, milliseconds: number, now: number): void {
	const relative = Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, milliseconds / heldSlot.usualMilliseconds));
	upstream.slowness = (getSlowness(upstream, now) * (1 - upstream.policy.slownessShare)) + (relative * upstream.policy.slownessShare);
	upstream.slownessUpdatedAt = now;
}

/**
Creates the place that a host says it holds.
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

/**
What a dispatcher knows of one upstream: its places taken, how slow it is, and how much speaks against it.
*/
import type * as core from 'wagtailroute-core';
import type {
	Ask,
	BackoffUpdate,
	Candidate,
	Ending,
	HeldPlace,
} from './asks.ts';
import {
	LEAST_PRIOR,
	MILLISECONDS_PER_SECOND,
	MOST_PRIOR,
	SLOWNESS_LEAST,
	SLOWNESS_MOST,
} from './constants.ts';
import type {Policy} from './policy.ts';
import type {UpstreamRateLimit} from './upstream-rate-limit.ts';

/**
A place that is taken.
*/
export type Place = {
	readonly id: string;
	readonly host: core.HostId;
	readonly service: core.ServiceName;
	readonly upstream: core.UpstreamId;
	readonly route: string;
	/**
	The ask that it was granted to; absent when a host told it.
	*/
	readonly ask?: Ask;
	readonly startedAt: number;
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
	readonly places: Map<string, Place>;
	readonly createdAt: number;
	/**
	Time of the last request that was sent there.
	*/
	startedAt: number;
	/**
	Read it by {@link getDoubt}: it fades.
	*/
	doubt: number;
	doubtAt: number;
	failedAt: number;
	slowness: number;
	slownessAt: number;
	provenAt: number;
	/**
	Nothing is sent before this time.
	*/
	closedUntil: number;
	/**
	Time of the next trial while suspended.
	*/
	trialAt: number;
	failedTrials: number;
	/**
	Hosts whose path here is at fault, with the time until which they send nothing.
	*/
	readonly badPaths: Map<core.HostId, number>;
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
		places: new Map(),
		createdAt: now,
		startedAt: -Infinity,
		doubt: 0,
		doubtAt: now,
		failedAt: -Infinity,
		slowness: candidate.warmAt > now ? policy.coldSlowness : 1,
		slownessAt: now,
		provenAt: -Infinity,
		closedUntil: -Infinity,
		trialAt: -Infinity,
		failedTrials: 0,
		badPaths: new Map(),
		backoffs: new Map(),
		isMisdirected: false,
		isDraining: false,
	};
}

/**
Returns what speaks against it. Doubt fades unless the upstream is silent as well.
*/
export function getDoubt(upstream: Upstream, now: number): number {
	return upstream.candidate.isSilent ? upstream.doubt : fadeDoubt(upstream.policy, upstream.doubt, now - upstream.doubtAt);
}

/**
Returns what is left of doubt after a while.
*/
export function fadeDoubt({fadingDoubt}: Policy, doubt: number, milliseconds: number): number {
	return Math.max(0, doubt - (milliseconds / MILLISECONDS_PER_SECOND * fadingDoubt));
}

/**
Sets what speaks against it.
*/
export function setDoubt(upstream: Upstream, doubt: number, now: number): void {
	upstream.doubt = Math.min(upstream.policy.mostDoubt, Math.max(0, doubt));
	upstream.doubtAt = now;
}

/**
Takes another dispatcher's word of what speaks against it. That one goes on with trials, or has just done the last one: this one waits
longest before its first. Without the wait, every host that dispatches alone would at once send a request there that may not be repeated.
*/
export function takeBelief(upstream: Upstream, doubt: number, now: number): void {
	setDoubt(upstream, doubt, now);
	upstream.trialAt = now + upstream.policy.trialMostMilliseconds;
}

/**
Says whether a request more fits in.
*/
function hasFreeSlot({places, candidate}: Upstream): boolean {
	return places.size < candidate.slots;
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
export function isQuiet({places, startedAt, createdAt}: Upstream, milliseconds: number, now: number): boolean {
	return places.size === 0 && now - Math.max(startedAt, createdAt) > milliseconds;
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
	const weight = Math.exp((upstream.slownessAt - now) / upstream.policy.slownessMilliseconds);
	const measured = 1 + ((upstream.slowness - 1) * weight);
	return now < upstream.candidate.warmAt ? Math.max(upstream.policy.coldSlowness, measured) : measured;
}

/**
Returns the probability that the upstream is in a bad spell, 0 to 1: from what was seen of ended requests, the time since the last one that was
served, and the age of each that is under way. A request that lasts twice as long as usual says more than one that has just begun, and
several at once more than one. What began before a later one was served says nothing: its path may be at fault.
*/
export function getRisk(upstream: Upstream, now: number): number {
	const {policy, provenAt, createdAt} = upstream;
	const quiet = Math.min(1, policy.spellsPerSecond * (now - Math.max(provenAt, createdAt)) / MILLISECONDS_PER_SECOND);
	const prior = Math.min(MOST_PRIOR, Math.max(LEAST_PRIOR, quiet));
	let odds = prior / (1 - prior) * Math.exp(getDoubt(upstream, now));
	for (const place of upstream.places.values()) {
		const survival = 1 / (1 + (((now - place.startedAt) / place.usualMilliseconds) ** policy.survivalSteepness));
		const isOvertaken = provenAt > place.startedAt + place.usualMilliseconds;
		odds *= isOvertaken ? 1 : (policy.harmedPart + ((1 - policy.harmedPart) * survival)) / survival;
	}

	return odds / (1 + odds);
}

/**
Says whether a request lasts so long that its path may be at fault.
*/
function isOverdue({policy}: Upstream, place: Place, now: number): boolean {
	return now - place.startedAt > Math.max(policy.overdueMilliseconds, policy.overdueRatio * place.usualMilliseconds);
}

/**
Says whether a request of this host hangs there, or lately hung.
*/
export function isPathBad(upstream: Upstream, host: core.HostId, now: number): boolean {
	if ((upstream.badPaths.get(host) ?? -Infinity) > now) {
		return true;
	}

	for (const place of upstream.places.values()) {
		if (place.host === host && isOverdue(upstream, place, now)) {
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
type Consequence = {
	readonly doubt: number;
	/**
	It brings doubt no higher than this.
	*/
	readonly most?: number;
	/**
	The path between the host and the upstream may be at fault.
	*/
	readonly isOfPath?: boolean;
	readonly closedMilliseconds?: number;
};

const CONSEQUENCES: Readonly<Record<Ending, (policy: Policy) => Consequence>> = {
	success: policy => ({doubt: -policy.successDoubt}),
	error: policy => ({doubt: policy.errorDoubt}),
	reset: policy => ({doubt: policy.resetDoubt}),
	refused: policy => ({doubt: policy.refusedDoubt}),
	unreachable: policy => ({doubt: policy.silenceDoubt, isOfPath: true}),
	timeout: policy => ({doubt: policy.silenceDoubt, isOfPath: true}),
	overdue: policy => ({doubt: policy.overdueDoubt}),
	shed: policy => ({doubt: policy.shedDoubt, most: policy.mostShedDoubt, closedMilliseconds: policy.shedMilliseconds}),
	misdirected: policy => ({doubt: policy.mostDoubt}),
	cancelled: () => ({doubt: 0}),
	unused: () => ({doubt: 0}),
};

/**
Takes the ending of a request as evidence.
*/
export function weighEnding(upstream: Upstream, place: Place, ending: Ending, now: number): void {
	const {doubt, most = Infinity, isOfPath = false, closedMilliseconds = 0} = CONSEQUENCES[ending](upstream.policy);
	const wasSuspended = isSuspended(upstream, now);
	const before = getDoubt(upstream, now);
	const after = Math.min(most, before + doubt);
	setDoubt(upstream, doubt > 0 ? Math.max(before, after) : after, now);
	upstream.closedUntil = Math.max(upstream.closedUntil, now + closedMilliseconds);
	upstream.isMisdirected ||= ending === 'misdirected';
	if (isOfPath) {
		upstream.badPaths.set(place.host, now + upstream.policy.pathMilliseconds);
	}

	if (ending === 'success') {
		upstream.provenAt = now;
		upstream.badPaths.delete(place.host);
		upstream.trialAt = now;
		upstream.failedTrials = 0;
	} else if (doubt > 0) {
		upstream.failedAt = now;
	}

	if (doubt <= 0 || !isSuspended(upstream, now)) {
		return;
	}

	upstream.failedTrials = wasSuspended && place.isTrial ? upstream.failedTrials + 1 : upstream.failedTrials;
	upstream.trialAt = now + Math.min(upstream.policy.trialMostMilliseconds, upstream.policy.trialLeastMilliseconds * (2 ** upstream.failedTrials));
}

/**
Takes the time of a request as a measurement of slowness.
*/
export function weighTime(upstream: Upstream, place: Place, milliseconds: number, now: number): void {
	const relative = Math.min(SLOWNESS_MOST, Math.max(SLOWNESS_LEAST, milliseconds / place.usualMilliseconds));
	upstream.slowness = (getSlowness(upstream, now) * (1 - upstream.policy.slownessShare)) + (relative * upstream.policy.slownessShare);
	upstream.slownessAt = now;
}

/**
Creates the place that a host says it holds.
*/
export function createHeldPlace(held: HeldPlace, usualMilliseconds: number, now: number): Place {
	return {
		id: held.id,
		host: held.host,
		service: held.service,
		upstream: held.upstream,
		route: held.route,
		startedAt: now - held.ageMilliseconds,
		deadlineAt: now + held.remainingMilliseconds,
		usualMilliseconds,
		isTrial: false,
	};
}

/**
Weights, times and bounds of the dispatcher. Doubt is measured in natural log-odds that an upstream is in a bad spell.
*/
import type * as core from 'wagtailroute-core';

/**
Doubt from which on an upstream gets no request that must not run twice: odds of 20 to 1 against an upstream that fails
every 80th request when well.
*/
export const SUSPENDED_DOUBT = 3;

/**
Most doubt that is kept: an upstream that failed a hundred times must be able to prove itself by a few successes.
*/
export const MOST_DOUBT = 7.5;

/**
Doubt that a success takes away: ln(0.99 / 0.22), where a bad spell lets about every fifth request through.
*/
export const SUCCESS_DOUBT = 1.5;

/**
Doubt of an answer with an error status: ln(0.55 / 0.012), a bad spell against an upstream that is well, less what one of a
hundred upstreams in such a spell takes from it. One error alone must suspend nobody: upstreams that are well give one in a
hundred answers.
*/
export const ERROR_DOUBT = 2.6;

/**
Doubt that passes in a second without evidence: bad spells end by themselves within 10 to 20 s.
*/
export const FADING_DOUBT = 0.3;

/**
Cost of one unit of doubt for a request that must not run twice, as a part of a full upstream.
*/
export const DOUBT_COST = 0.25;

/**
Gain of one unit of doubt for a request that may be repeated: it finds out.
*/
export const DOUBT_GAIN = 0.1;

/**
Milliseconds by which a request of the next lower rank stands behind one that comes at the same time. Not more: under lasting
overload the lowest rank would get nothing.
*/
export const RANK_MILLISECONDS = 150;

/**
Milliseconds by which a resend stands before requests that come at the same time: it has waited already.
*/
export const RESEND_MILLISECONDS = 1000;

/**
Usual times that must fit into the latency objective behind the wait for a slot. Under overload as many requests are served
whatever the wait; with a short one they are served in time.
*/
export const OBJECTIVE_PART = 1.3;

/**
Doubt of a connection that was reset or an answer that was cut: upstreams that are well hardly ever do it.
*/
export const RESET_DOUBT = 6;

/**
Doubt of a refused connection: nobody listens.
*/
export const REFUSED_DOUBT = 7.5;

/**
Doubt of an upstream that cannot be reached by one host, or does not answer it in time: the path of this host may be at fault,
a second host's word counts as proof.
*/
export const SILENCE_DOUBT = 2;

/**
Doubt of a request that was moved because its answer was overdue. One in a hundred is on an upstream that is well, more under load: half of
what a success takes away, so that it takes four in a row to suspend.
*/
export const OVERDUE_DOUBT = 0.75;

/**
Doubt of a shed request while this dispatcher counts a free slot. A shed costs a resend, not the request: less than what a success
takes away, so that upstreams which all shed a part are used on.
*/
export const SHED_DOUBT = 1.2;

/**
Milliseconds for which a host sends nothing more to an upstream that left its request unanswered.
*/
export const PATH_MILLISECONDS = 3000;

/**
Milliseconds without a new request after an upstream has shed one: its queue needs a moment.
*/
export const SHED_MILLISECONDS = 150;

/**
Milliseconds before the first trial of a suspended upstream; doubled with each failed trial.
*/
export const TRIAL_LEAST_MILLISECONDS = 300;

/**
Longest wait in milliseconds before a trial.
*/
export const TRIAL_MOST_MILLISECONDS = 2400;

/**
Milliseconds that a trial waits in addition for a request that may be repeated, before one that may not is taken: bad spells
of 5 to 10 s pass meanwhile, and each such trial may cost a caller its request.
*/
export const UNREPEATABLE_TRIAL_MILLISECONDS = 6000;

/**
Milliseconds for which one request that may be repeated lets others be expected.
*/
export const REPEATABLE_MILLISECONDS = 3000;

/**
A request that lasts longer than this many usual times counts against the path between its host and its upstream.
*/
export const OVERDUE_RATIO = 2.2;

/**
Least age in milliseconds at which a request counts as overdue.
*/
export const OVERDUE_MILLISECONDS = 550;

/**
Usual times by which the requests under way at an upstream may be late together before it gets no more: two at 1.75 times, or four
at 1.4 times the usual. Each counts for one at most, so that a single one that hangs closes nothing.
*/
export const MOST_STRAIN = 1.5;

/**
Share of a new measurement in an upstream's relative slowness.
*/
export const SLOWNESS_SHARE = 0.25;

/**
Bounds of relative slowness.
*/
export const SLOWNESS_LEAST = 0.4;
export const SLOWNESS_MOST = 12;

/**
Milliseconds in which what is known of an upstream's slowness loses two thirds of its weight.
*/
export const SLOWNESS_MILLISECONDS = 6000;

/**
Relative slowness that a starting upstream is taken to have.
*/
export const COLD_SLOWNESS = 2;

/**
Share of a new measurement in the usual time of a route.
*/
export const USUAL_SHARE = 0.05;

/**
Usual time of a route that was not measured yet, as a part of its latency objective.
*/
export const USUAL_PART = 0.25;

/**
Cost of leaving the failure domain, as a part of a full upstream: more than a full one against an empty one, so that requests stay
while there is a free slot of an upstream that is well and not half as fast as the others. Bytes between failure domains can cost
as much as the request is worth.
*/
export const DOMAIN_COST = 1.2;

/**
The same for an upload, whose bytes cross too.
*/
export const UPLOAD_DOMAIN_COST = 2.5;

/**
Milliseconds that a request waits for a slot of its own failure domain while there are upstreams in use, by class: the more bytes would
cross, the longer. With 40 slots of 0.4 s each one comes free every 10 ms.
*/
export const DOMAIN_WAITS: Readonly<Record<core.RequestClass, number>> = {
	read: 20, idempotent: 20, 'non-idempotent': 60, upload: 250,
};

/**
Milliseconds by which a trial that crosses failure domains stands behind one that does not.
*/
export const DOMAIN_TRIAL_MILLISECONDS = 1000;

/**
Cost for a request that must not run twice of an upstream that has not proved itself for {@link PROOF_MILLISECONDS}; a gain for
one that may, so that these find out first.
*/
export const PROOF_COST = 0.25;

/**
Milliseconds in which a success loses its worth as proof.
*/
export const PROOF_MILLISECONDS = 1500;

/**
Spread of the costs, so that equal upstreams take turns.
*/
export const SPREAD_COST = 0.04;

/**
Part of a route's usual time that must be left to the deadline for a request to be sent at all.
*/
export const WORTHWHILE_PART = 0.9;

/**
Milliseconds that a resend of a refused request waits at least.
*/
export const RETRY_AFTER_LEAST_MILLISECONDS = 100;

/**
Part of the resends for each request that is used, so that what other hosts send while they cannot reach this dispatcher fits in.
*/
export const BUDGET_RATIO_PART = 0.92;

/**
Part of the fixed number of resends that is used: three dispatchers one after the other must not spend more than there is.
*/
export const BUDGET_EXTRA_PART = 0.3;

/**
Milliseconds of one slice of the budget's window.
*/
export const BUDGET_SLICE_MILLISECONDS = 500;

/**
Asks that are looked at when a slot comes free, by turn. Those who have waited longest take a slot anywhere; with all looked at, 300 upstreams under
overload cost a millisecond for each event.
*/
export const LOOKED_AT_MOST = 64;

/**
Milliseconds in a second.
*/
export const MILLISECONDS_PER_SECOND = 1000;

/**
Milliseconds that a place stays taken after its deadline when its host is not heard: its answer may be under way.
*/
export const ABANDONED_MILLISECONDS = 500;

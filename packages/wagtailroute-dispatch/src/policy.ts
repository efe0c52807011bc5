/**
Weights, times and bounds by which a dispatcher decides. Doubt is measured in natural log-odds that an upstream is in a bad spell.

They are one record, so that an experiment can change each by its name and everything else stays as it is.
*/
/**
What holds unless an experiment says otherwise.
*/
export const DEFAULT_POLICY = {
	/**
	Doubt from which on an upstream gets no request that must not run twice: odds of 20 to 1 against an upstream that fails
	every 80th request when well.
	*/
	suspendedDoubt: 3,
	/**
	Most doubt that is kept: an upstream that failed a hundred times must be able to prove itself by a few successes.
	*/
	mostDoubt: 7.5,
	/**
	Doubt that a success takes away: ln(0.99 / 0.22), where a bad spell lets about every fifth request through.
	*/
	successDoubt: 1.5,
	/**
	Doubt of an answer with an error status: ln(0.55 / 0.012), a bad spell against an upstream that is well, less what one of a
	hundred upstreams in such a spell takes from it. One error alone must suspend nobody: upstreams that are well give one in a
	hundred answers.
	*/
	errorDoubt: 2.6,
	/**
	Doubt that passes in a second without evidence: bad spells end by themselves within 10 to 20 s.
	*/
	fadingDoubt: 0.3,
	/**
	Cost of one unit of doubt, as a part of a full upstream: what has just failed is left alone where there are others, beyond what the
	risk says.
	*/
	doubtCost: 0.25,
	/**
	Milliseconds by which a request of the next lower rank stands behind one that comes at the same time. Not more: under lasting
	overload the lowest rank would get nothing.
	*/
	rankMilliseconds: 150,
	/**
	Milliseconds by which a resend stands before requests that come at the same time: it has waited already.
	*/
	resendMilliseconds: 1000,
	/**
	Milliseconds by which a request that can not be answered within its objective any more stands behind others that can: enough that a crowd
	that comes back does not make all who come later late, and not so much that it is only served when nobody else is left.
	*/
	lateMilliseconds: 1000,
	/**
	Usual times that must fit into the latency objective behind the wait for a slot. Under overload as many requests are served
	whatever the wait; with a short one they are served in time.
	*/
	objectivePart: 1.3,
	/**
	Part of this rule that holds for a request whose objective is missed already: with 1 it is refused like others, with 0 only its deadline
	counts. A late answer is worth more to its caller than a refusal, and it stands behind those who can be in time.
	*/
	missedPart: 0,
	/**
	Doubt of a connection that was reset or an answer that was cut: upstreams that are well hardly ever do it.
	*/
	resetDoubt: 6,
	/**
	Doubt of a refused connection: nobody listens.
	*/
	refusedDoubt: 7.5,
	/**
	Doubt of an upstream that cannot be reached by one host, or does not answer it in time: the path of this host may be at fault,
	a second host's word counts as proof.
	*/
	silenceDoubt: 2,
	/**
	Doubt of a request that was moved because its answer was overdue. One in a hundred is on an upstream that is well, more under load: half of
	what a success takes away, so that it takes four in a row to suspend.
	*/
	overdueDoubt: 0.75,
	/**
	Doubt of a shed request while this dispatcher counts a free slot. A shed costs a resend, not the request: less than what a success
	takes away, so that upstreams which all shed a part are used on.
	*/
	shedDoubt: 1.2,
	/**
	Doubt up to which sheds alone can bring an upstream: below suspension. What was shed has not run, so trying costs little; but when all upstreams of
	a service shed half of what they get, suspending them all leaves next to nothing of it.
	*/
	mostShedDoubt: 2.5,
	/**
	Milliseconds for which a host sends nothing more to an upstream that left its request unanswered.
	*/
	pathMilliseconds: 3000,
	/**
	Milliseconds without a new request after an upstream has shed one: its queue needs a moment.
	*/
	shedMilliseconds: 150,
	/**
	Milliseconds before the first trial of a suspended upstream; doubled with each failed trial.
	*/
	trialLeastMilliseconds: 300,
	/**
	Longest wait in milliseconds before a trial.
	*/
	trialMostMilliseconds: 2400,
	/**
	Milliseconds that a trial waits in addition for a request that may be repeated, before one that may not is taken: bad spells
	of 5 to 10 s pass meanwhile, and each such trial may cost a caller its request.
	*/
	unrepeatableTrialMilliseconds: 6000,
	/**
	Part of a service's requests that is not served from which on upstreams that get nothing are tried sooner.
	*/
	shortfallPart: 0.05,
	/**
	Milliseconds after its last failure from which on an upstream is tried then, whatever its next trial waits for; doubled with each failed trial.
	*/
	shortfallTrialLeastMilliseconds: 1500,
	/**
	The same at most.
	*/
	shortfallTrialMostMilliseconds: 4000,
	/**
	Gain of an upstream that is not suspended and has rested, then: more than any risk costs.
	*/
	shortfallRestGain: 30,
	/**
	Milliseconds for which one request that may be repeated lets others be expected.
	*/
	repeatableMilliseconds: 3000,
	/**
	A request that lasts longer than this many usual times counts against the path between its host and its upstream.
	*/
	overdueRatio: 2.2,
	/**
	Least age in milliseconds at which a request counts as overdue.
	*/
	overdueMilliseconds: 550,
	/**
	Share of a new measurement in an upstream's relative slowness.
	*/
	slownessShare: 0.25,
	/**
	Milliseconds in which what is known of an upstream's slowness loses two thirds of its weight.
	*/
	slownessMilliseconds: 6000,
	/**
	Relative slowness that a starting upstream is taken to have.
	*/
	coldSlowness: 2,
	/**
	Share of a new measurement in the usual time of a route.
	*/
	usualShare: 0.05,
	/**
	Usual time of a route that was not measured yet, as a part of its latency objective.
	*/
	usualPart: 0.25,
	/**
	Cost of leaving the failure domain, as a part of a full upstream: more than a full one against an empty one, so that requests stay
	while there is a free slot of an upstream that is well and not half as fast as the others. Bytes between failure domains can cost
	as much as the request is worth.
	*/
	domainCost: 1.2,
	/**
	The same for an upload, whose bytes cross too.
	*/
	uploadDomainCost: 2.5,
	/**
	Milliseconds that a request waits for a slot of its own failure domain while there are upstreams in use, by class: the more bytes
	would cross, the longer. With 40 slots of 0.4 s each one comes free every 10 ms.
	*/
	domainWaitMilliseconds: 20,
	unrepeatableDomainWaitMilliseconds: 60,
	uploadDomainWaitMilliseconds: 250,
	/**
	Milliseconds by which a trial that crosses failure domains stands behind one that does not.
	*/
	domainTrialMilliseconds: 1000,
	/**
	Spread of the costs, so that equal upstreams take turns.
	*/
	spreadCost: 0.04,
	/**
	Part of a route's usual time that must be left to the deadline for a request to be sent at all.
	*/
	worthwhilePart: 0.9,
	/**
	Milliseconds that a resend of a refused request waits at least.
	*/
	retryAfterLeastMilliseconds: 100,
	/**
	Part of the resends for each request that is used, so that what other hosts send while they cannot reach this dispatcher fits in.
	*/
	resendRatioPart: 0.92,
	/**
	Part of the fixed number of resends that is used: three dispatchers one after the other must not spend more than there is.
	*/
	fixedResendsPart: 0.3,
	/**
	Bad spells of an upstream in a second, as far as nothing is known: one in half a minute.
	*/
	spellsPerSecond: 0.03,
	/**
	Part of the requests that a bad spell harms.
	*/
	harmedPart: 0.75,
	/**
	How steeply the share of requests that are still at work falls with their age: at twice the usual time a twelfth is left.
	*/
	survivalSteepness: 3.5,
	/**
	Milliseconds without a request after which an upstream that is not suspended comes first.
	*/
	restMilliseconds: 1000,
	/**
	Gain of it, as a part of a full upstream: more than all that load and quiet can cost, less than leaving the failure domain.
	*/
	restGain: 1,
	/**
	The same for a request that may be repeated: more than leaving the failure domain. What nobody was sent to may have fallen ill or become well unnoticed, and
	is found out by a request that can be sent again.
	*/
	repeatableRestGain: 3,
	/**
	Burst of an upstream's rate limit, in seconds' worth of the rate.
	*/
	rateBurstSeconds: 0.5,
	/**
	Cost of a certain bad spell, as a part of a full upstream: where one is likely, a request that must not run twice had better wait or cross.
	*/
	riskCost: 20,
} as const;

/**
A policy.
*/
export type Policy = {readonly [Name in keyof typeof DEFAULT_POLICY]: number};

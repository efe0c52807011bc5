/**
Weights, times and bounds by which a dispatcher decides.

Doubt is the evidence that an upstream is in a failure period, in which it temporarily fails most requests, measured in natural log-odds. Costs and
gains have the unit "load of a full upstream": an upstream without a free slot costs 1 more than an empty one. The policy is one record, so that an
experiment can change a single value by its name.
*/
/**
Default values; experiments and the command line may change single ones.
*/
export const DEFAULT_POLICY = {
	/**
	Doubt from which on an upstream is suspended: it gets only trials. 3 means odds of 20 to 1 for a failure period of an upstream that fails every
	80th request when healthy.
	*/
	suspendedDoubt: 3,
	/**
	Upper bound of doubt: an upstream that has failed a hundred times must be able to recover with a few successes.
	*/
	mostDoubt: 7.5,
	/**
	Doubt that a success subtracts: ln(0.99 / 0.22), since about every fifth request succeeds in a failure period.
	*/
	successDoubt: 1.5,
	/**
	Doubt that an answer with an error status adds: ln(0.55 / 0.012) for a failure period against a healthy upstream, reduced since only one in
	a hundred upstreams is in a failure period. One error alone must not suspend an upstream: healthy ones return an error for one in a hundred
	requests.
	*/
	errorDoubt: 2.6,
	/**
	Doubt that decays per second without evidence: failure periods end by themselves within 10 to 20 s.
	*/
	fadingDoubt: 0.3,
	/**
	Cost of one unit of doubt. It makes requests avoid an upstream that has just failed where there are others, in addition to the cost of the risk.
	*/
	doubtCost: 0.25,
	/**
	Milliseconds by which a request is queued later for each step of lower priority. A larger value would leave the lowest priority without slots under lasting overload.
	*/
	rankMilliseconds: 150,
	/**
	Milliseconds by which a resend is queued ahead of new requests, since it has waited already.
	*/
	resendMilliseconds: 1000,
	/**
	Milliseconds by which a request that can no longer meet its latency objective is queued behind those that can. It is large enough that a crowd of
	retries after an outage doesn't make all later requests late, and small enough that late requests are served before the queue is empty.
	*/
	lateMilliseconds: 1000,
	/**
	Steps of priority that a doubling of the work of a request counts as, where queued requests are ordered by cost: 0 orders by priority alone, 1 by
	value per unit of work.
	*/
	orderWorkSteps: 0,
	/**
	Number of usual response times that must fit into the latency objective after the wait for a slot. Under overload the number of served requests is
	the same for any wait; with a short wait they are served in time.
	*/
	objectivePart: 1.3,
	/**
	Weight of the rule of `objectivePart` for a request that has missed its objective already: with 1 it is refused like others, with 0 only its
	deadline counts. A late answer is worth more to its caller than a refusal, and the request is queued behind those that can still be in time.
	*/
	missedPart: 0,
	/**
	Doubt that a connection reset or a truncated answer adds: healthy upstreams hardly ever cause either.
	*/
	resetDoubt: 6,
	/**
	Doubt that a refused connection adds: no process listens at the address.
	*/
	refusedDoubt: 7.5,
	/**
	Doubt that a connection timeout or an answer timeout adds. The network path of one entry host may be the cause, so a single report does not
	suspend; a second entry host's report does.
	*/
	silenceDoubt: 2,
	/**
	Doubt that a request adds that was moved because its answer was overdue. At a healthy upstream that happens to one in a hundred requests, and more
	often under load. The value is half of what a success subtracts, so it takes four in a row to suspend.
	*/
	overdueDoubt: 0.75,
	/**
	Doubt that a shed request adds although this dispatcher counts a free slot. Load shedding costs a resend and loses no request, so the value is
	lower than what a success subtracts: upstreams that all shed a part of their requests stay in use.
	*/
	shedDoubt: 1.2,
	/**
	Doubt up to which shed requests alone can bring an upstream; it lies below suspension. A shed request has not run, so sending it costs little, and
	when all upstreams of a service shed half of their requests, suspending them all would leave almost no capacity.
	*/
	mostShedDoubt: 2.5,
	/**
	Milliseconds for which an entry host sends no more requests to an upstream that has left one of its requests unanswered.
	*/
	pathMilliseconds: 3000,
	/**
	Milliseconds without a new request after an upstream has shed one: its queue needs time to drain.
	*/
	shedMilliseconds: 150,
	/**
	Milliseconds before the first trial of a suspended upstream; doubled with each failed trial.
	*/
	trialLeastMilliseconds: 300,
	/**
	Upper bound in milliseconds of the delay before a trial.
	*/
	trialMostMilliseconds: 2400,
	/**
	Additional milliseconds before a trial may use a non-idempotent request: failure periods of 5 to 10 s end in that time, and each such trial may
	lose its request.
	*/
	unrepeatableTrialMilliseconds: 6000,
	/**
	Fraction of failed requests of a service (its shortfall) from which on idle upstreams are tried sooner.
	*/
	shortfallPart: 0.05,
	/**
	Milliseconds after an upstream's last failure from which on it is tried during a shortfall, whatever its next trial waits for; doubled with each
	failed trial.
	*/
	shortfallTrialLeastMilliseconds: 1500,
	/**
	Upper bound in milliseconds of `shortfallTrialLeastMilliseconds` after doubling.
	*/
	shortfallTrialMostMilliseconds: 4000,
	/**
	Gain of a rested upstream during a shortfall: more than any risk costs.
	*/
	shortfallRestGain: 30,
	/**
	Milliseconds after an idempotent request in which further ones are expected.
	*/
	repeatableMilliseconds: 3000,
	/**
	Multiple of the usual response time from which on a request in progress counts against the network path between its entry host and its upstream.
	*/
	overdueRatio: 2.2,
	/**
	Minimum age in milliseconds of a request that counts as overdue.
	*/
	overdueMilliseconds: 550,
	/**
	Weight of a new measurement in the moving average of an upstream's slowness, which is its response time as a multiple of the usual one.
	*/
	slownessShare: 0.25,
	/**
	Time constant in milliseconds with which a measured slowness decays to 1.
	*/
	slownessMilliseconds: 6000,
	/**
	Slowness that is assumed of an upstream that is warming up.
	*/
	coldSlowness: 2,
	/**
	Weight of a new measurement in the moving average that is a route's usual response time.
	*/
	usualShare: 0.05,
	/**
	Usual response time of a route without measurements, as a fraction of its latency objective.
	*/
	usualPart: 0.25,
	/**
	Cost of an upstream in another failure domain: more than the difference between a full and an empty one, so that requests stay in their failure
	domain while it has a free slot at a healthy upstream that is not twice as slow as the others. Traffic between failure domains can cost as much as
	the request is worth.
	*/
	domainCost: 1.2,
	/**
	The same for an upload, whose body crosses failure domains too.
	*/
	uploadDomainCost: 2.5,
	/**
	Expected response bytes up to which crossing costs what its request class costs, and nothing else changes either.
	*/
	smallResponseBytes: 8192,
	/**
	Expected response bytes from which on a response counts as large in every respect; between the two sizes the effects grow evenly.
	*/
	largeResponseBytes: 32_768,
	/**
	Additional cost of an upstream in another failure domain for each KiB of the expected response above `smallResponseBytes`. With 90 KB it adds 3.2,
	more than the difference between an empty upstream and a full one that is twice as slow.
	*/
	kibibyteDomainCost: 0.04,
	/**
	Upper bound of the cost of an upstream in another failure domain: a risk of 0.4 in the own failure domain costs as much.
	*/
	mostDomainCost: 8,
	/**
	Bytes that one measurement of a response counts for at most.
	*/
	mostResponseBytes: 1_000_000,
	/**
	Multiple of the moving average, or of `smallResponseBytes` if that is more, that one measurement of a response counts for at most.
	*/
	responseGrowth: 8,
	/**
	Weight of a new measurement in the moving average of a route's response bytes.
	*/
	responseBytesShare: 0.1,
	/**
	Milliseconds that a request waits for a slot in its own failure domain while usable upstreams there are full, by request class: the more bytes
	would cross, the longer. With 40 slots of 0.4 s each, one becomes free every 10 ms.
	*/
	domainWaitMilliseconds: 20,
	unrepeatableDomainWaitMilliseconds: 60,
	uploadDomainWaitMilliseconds: 250,
	/**
	The same for a request with a large response, while its objective allows.
	*/
	largeDomainWaitMilliseconds: 250,
	/**
	Additional milliseconds before a request from another failure domain may be a trial.
	*/
	domainTrialMilliseconds: 1000,
	/**
	Range of the random cost that makes equal upstreams take turns.
	*/
	spreadCost: 0.04,
	/**
	Fraction of a route's usual response time that must be left until the deadline for a request to be granted.
	*/
	worthwhilePart: 0.9,
	/**
	Minimum delay in milliseconds that a refusal asks for before the request is sent again.
	*/
	retryAfterLeastMilliseconds: 100,
	/**
	Most resends that are saved up for a service, as a fraction of the fixed number of the retry budget. The rest covers dispatchers that hold tokens at the same time,
	and resends that are granted before and sent after a window begins.
	*/
	resendCapacityPart: 0.6,
	/**
	Fraction of the fixed number that is granted over a window without requests, for services with few of them.
	*/
	resendRefillPart: 0.2,
	/**
	Rate of failure periods ("spells") per second of an upstream without other information: one in half a minute.
	*/
	spellsPerSecond: 0.03,
	/**
	Fraction of the requests that a failure period harms.
	*/
	harmedPart: 0.75,
	/**
	Exponent of the fraction of requests that are still in progress, by their age: at twice the usual response time a twelfth is left.
	*/
	survivalSteepness: 3.5,
	/**
	Milliseconds without a request after which an upstream that is not suspended counts as rested, and is preferred.
	*/
	restMilliseconds: 1000,
	/**
	Gain of a rested upstream for a non-idempotent request: more than load and the risk after idle time can cost, less than leaving the failure
	domain.
	*/
	restGain: 1,
	/**
	Gain of a rested upstream for an idempotent request: more than leaving the failure domain. An upstream without requests may have failed or
	recovered unnoticed, and an idempotent request finds out without harm, since it can be sent again.
	*/
	repeatableRestGain: 3,
	/**
	Burst of an upstream's rate limit, in seconds of its rate.
	*/
	rateBurstSeconds: 0.5,
	/**
	Cost of a risk of 1, a certain failure period: where a failure is likely, a non-idempotent request had better wait or cross failure domains.
	*/
	riskCost: 20,
} as const;

/**
Policy of a dispatcher: the values of {@link DEFAULT_POLICY}, each of which may be replaced.
*/
export type Policy = {readonly [Name in keyof typeof DEFAULT_POLICY]: number};

/**
Admission control of one service on one host: concurrency limit, rate limit, fair shares of organisations and a queue that
checks deadlines.

A request starts when the concurrency limit and the rate limit allow it; otherwise it waits in fair order. A request that
cannot start in time is refused at once, while its caller can still go elsewhere, and not when its deadline is near. When the
queue is full, the last request of the organisation with the most waiting is evicted, so that no organisation can fill the
queue at the expense of others. Deterministic: the time is passed with each call. The state is mutable, in a closure, because
this runs for every request.
*/
import type {
	AdmissionController,
	AdmissionFailureKind,
	AdmissionLimits,
	AdmissionRequest,
	AdmissionDecision,
	Refusal,
	TicketResolution,
} from './admission-types.ts';
import {createConcurrencyLimit} from './concurrency-limit.ts';
import {USUAL_LATENCY_WEIGHT, DEFAULT_MAX_WAITING} from './constants.ts';
import {createFairQueue, type Ticket} from './fair-queue.ts';
import {createRateLimit} from './rate-limit.ts';

const ADMITTED = {kind: 'admitted'} as const;
const NO_RESOLUTIONS: readonly TicketResolution[] = [];

/**
Creates the admission controller of a service.
*/
export function createAdmissionController(initial: AdmissionLimits, now: number): AdmissionController {
	const queue = createFairQueue();
	const concurrency = createConcurrencyLimit(initial.concurrency, initial.slots);
	const rateLimit = createRateLimit(initial.ratePerSecond, now);
	let limits = initial;
	let inFlight = 0;
	let usualMilliseconds = 0;
	let resolutions: TicketResolution[] = [];

	const getMaxInFlightPerOrganisation = () =>
		Math.max(1, Math.floor((limits.perOrganisationShare ?? 1) * concurrency.getLimit()));
	const canStart = (time: number) => inFlight < concurrency.getLimit() && rateLimit.hasToken(time);
	const start = (time: number) => {
		inFlight++;
		rateLimit.consumeTokens(time);
	};

	const refuseExpired = (time: number) => {
		for (const ticket of queue.removeExpired(time)) {
			const failure = ticket.isLimitedByDeadline ? 'deadline-before-send' : 'queue-too-long';
			resolutions.push({ticket, result: refuse(failure, estimateWait(ticket.organisation, time).milliseconds)});
		}
	};

	const startQueued = (time: number) => {
		refuseExpired(time);
		while (queue.countWaiting() > 0 && canStart(time)) {
			const ticket = queue.dequeue(getMaxInFlightPerOrganisation());
			if (ticket === undefined) {
				return;
			}

			start(time);
			resolutions.push({ticket, result: ADMITTED});
		}
	};

	const collectResolutions = (): readonly TicketResolution[] => {
		if (resolutions.length === 0) {
			return NO_RESOLUTIONS;
		}

		const collected = resolutions;
		resolutions = [];
		return collected;
	};

	// In fair order, each other organisation is served at most as many requests before this one as this organisation has
	// waiting.
	const estimateWait = (organisation: string, time: number): {milliseconds: number; failure: AdmissionFailureKind} => {
		const ownPosition = queue.countWaitingOf(organisation) + 1;
		const maxInFlight = getMaxInFlightPerOrganisation();
		const organisations = queue.countWaitingOrganisations() + (ownPosition === 1 ? 1 : 0);
		const requestsAhead = Math.min(queue.countWaiting() + 1, ownPosition * organisations);
		const concurrencyWait = requestsAhead * usualMilliseconds / Math.max(1, concurrency.getLimit());
		const rateWait = rateLimit.getDelay(requestsAhead, time);
		const excess = queue.countInFlightOf(organisation) + ownPosition - maxInFlight;
		const shareWait = limits.perOrganisationShare === undefined ? 0 : Math.max(0, excess) * usualMilliseconds / maxInFlight;
		const milliseconds = Math.max(concurrencyWait, rateWait, shareWait);
		return {milliseconds, failure: getWaitFailure(milliseconds, {rateWait, shareWait})};
	};

	const enqueue = ({organisation, now: time, deadline}: AdmissionRequest): AdmissionDecision => {
		const wait = estimateWait(organisation, time);
		// The usual latency is checked only for requests that wait. Checked for requests that can start at once, it would
		// refuse every request after a slow period, and no answer would show that the period is over.
		const latestStartByDeadline = deadline - usualMilliseconds;
		const latestStartByQueueLimit = time + limits.queueMilliseconds;
		if (concurrency.getLimit() === 0) {
			return refuse('queue-too-long', limits.queueMilliseconds);
		}

		if (time + wait.milliseconds > latestStartByDeadline) {
			return refuse('deadline-before-send', wait.milliseconds);
		}

		if (time + wait.milliseconds > latestStartByQueueLimit) {
			return refuse(wait.failure, wait.milliseconds);
		}

		if (queue.countWaiting() >= (limits.maxWaiting ?? DEFAULT_MAX_WAITING)) {
			const evicted = queue.removeFromLongest(queue.countWaitingOf(organisation) + 1);
			if (evicted === undefined) {
				return refuse('queue-full', wait.milliseconds);
			}

			resolutions.push({ticket: evicted, result: refuse('over-share', wait.milliseconds)});
		}

		const ticket: Ticket = {
			organisation,
			latestStart: Math.min(latestStartByDeadline, latestStartByQueueLimit),
			isLimitedByDeadline: latestStartByDeadline < latestStartByQueueLimit,
		};
		queue.enqueue(ticket);
		return {kind: 'queued', ticket};
	};

	return {
		request(request) {
			const {organisation, now: time, deadline} = request;
			if (deadline <= time) {
				return refuse('deadline-before-send', 0);
			}

			// Waiting requests start first. Those that still wait afterwards exceed the share of their own organisation.
			startQueued(time);
			if (canStart(time) && queue.countInFlightOf(organisation) < getMaxInFlightPerOrganisation()) {
				queue.start(organisation);
				start(time);
				return ADMITTED;
			}

			return enqueue(request);
		},
		release({organisation, now: time, latencyMilliseconds, ending}) {
			concurrency.record({
				ending, latencyMilliseconds, inFlight, now: time,
			});
			inFlight--;
			queue.end(organisation, usualMilliseconds === 0 ? 1 : latencyMilliseconds / usualMilliseconds);
			if (ending === 'completed') {
				usualMilliseconds = usualMilliseconds === 0 ? latencyMilliseconds : usualMilliseconds + (USUAL_LATENCY_WEIGHT * (latencyMilliseconds - usualMilliseconds));
			}

			startQueued(time);
			return collectResolutions();
		},
		cancel: ticket => queue.remove(ticket),
		tick(time) {
			startQueued(time);
			return collectResolutions();
		},
		setLimits(next, time) {
			concurrency.setCap(next.concurrency, {
				slotGrowth: getSlotGrowth(limits.slots, next.slots),
				startLimit: limits.slots === 0 || limits.concurrency < 1 ? next.slots : undefined,
			});
			limits = next;
			rateLimit.setRate(next.ratePerSecond, time);
			startQueued(time);
			return collectResolutions();
		},
		getStatus: () => ({
			limit: concurrency.getLimit(),
			inFlight,
			waiting: queue.countWaiting(),
			activeOrganisations: queue.countActiveOrganisations(),
			usualMilliseconds,
		}),
	};
}

function getSlotGrowth(before: number | undefined, after: number | undefined): number | undefined {
	return before === undefined || after === undefined || before === 0 ? undefined : Math.max(1, after / before);
}

function refuse(failure: AdmissionFailureKind, retryAfterMilliseconds: number): Refusal {
	return {kind: 'refused', failure, retryAfterMilliseconds};
}

function getWaitFailure(
	milliseconds: number,
	{rateWait, shareWait}: {readonly rateWait: number; readonly shareWait: number},
): AdmissionFailureKind {
	const causes: ReadonlyArray<readonly [AdmissionFailureKind, number]> = [['over-rate', rateWait], ['over-share', shareWait]];
	const cause = causes.find(([, wait]) => wait === milliseconds && milliseconds > 0);
	return cause?.[0] ?? 'queue-too-long';
}

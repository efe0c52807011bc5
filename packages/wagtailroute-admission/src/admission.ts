/**
Admission of requests to one service on one host: concurrency, rate, fair shares and a queue that knows deadlines.

A request starts when a slot and a token of the rate are there; else it waits in fair order. One that cannot start in time
is refused at once, while its caller can still go elsewhere: it is never held until its deadline is near. When the queue is
full, the organisation with the most waiting gives up its last one, so that nobody can fill the queue for others.
Deterministic: time comes with each call. Held in a closure, as every request passes here.
*/
import type {
	Admission,
	AdmissionFailureKind,
	AdmissionLimits,
	AdmissionRequest,
	Admittance,
	Refusal,
	TicketChange,
} from './admittance.ts';
import {createConcurrencyLimit} from './concurrency-limit.ts';
import {LATENCY_WEIGHT, MAX_WAITING} from './constants.ts';
import {createFairQueue, type Ticket} from './fair-queue.ts';
import {createRateLimit} from './rate-limit.ts';

const ADMITTED = {kind: 'admitted'} as const;
const NO_CHANGES: readonly TicketChange[] = [];

/**
Creates the admission of a service.
*/
export function createAdmission(initial: AdmissionLimits, now: number): Admission {
	const queue = createFairQueue();
	const concurrency = createConcurrencyLimit(initial.concurrency, initial.slots);
	const rate = createRateLimit(initial.ratePerSecond, now);
	let limits = initial;
	let inFlight = 0;
	let usual = 0;
	let pending: TicketChange[] = [];

	const getOrganisationCap = () =>
		Math.max(1, Math.floor((limits.perOrganisationShare ?? 1) * concurrency.getLimit()));
	const canStart = (time: number) => inFlight < concurrency.getLimit() && rate.hasToken(time);
	const start = (time: number) => {
		inFlight++;
		rate.takeToken(time);
	};

	const refuseLate = (time: number) => {
		for (const ticket of queue.removeLate(time)) {
			const failure = ticket.isByDeadline ? 'deadline-before-send' : 'queue-too-long';
			pending.push({ticket, result: refuse(failure, estimateWait(ticket.organisation, time).milliseconds)});
		}
	};

	const drain = (time: number) => {
		refuseLate(time);
		while (queue.getWaiting() > 0 && canStart(time)) {
			const ticket = queue.dequeue(getOrganisationCap());
			if (ticket === undefined) {
				return;
			}

			start(time);
			pending.push({ticket, result: ADMITTED});
		}
	};

	const takeChanges = (): readonly TicketChange[] => {
		if (pending.length === 0) {
			return NO_CHANGES;
		}

		const changes = pending;
		pending = [];
		return changes;
	};

	// In fair order at most as many of each other organisation are served before as this one has waiting.
	const estimateWait = (organisation: string, time: number): {milliseconds: number; failure: AdmissionFailureKind} => {
		const own = queue.getWaitingOf(organisation) + 1;
		const cap = getOrganisationCap();
		const organisations = queue.getWaitingOrganisations() + (own === 1 ? 1 : 0);
		const ahead = Math.min(queue.getWaiting() + 1, own * organisations);
		const bySlots = ahead * usual / Math.max(1, concurrency.getLimit());
		const byRate = rate.getDelay(ahead, time);
		const overCap = queue.getInFlightOf(organisation) + own - cap;
		const byShare = limits.perOrganisationShare === undefined ? 0 : Math.max(0, overCap) * usual / cap;
		const milliseconds = Math.max(bySlots, byRate, byShare);
		return {milliseconds, failure: getWaitFailure(milliseconds, {byRate, byShare})};
	};

	const enqueue = ({organisation, now: time, deadline}: AdmissionRequest): Admittance => {
		const wait = estimateWait(organisation, time);
		// The usual latency counts only here: were it asked of a request that can start at once, a slow spell would
		// refuse every request, and no answer would come to show that it is over.
		const latestByDeadline = deadline - usual;
		const latestByQueue = time + limits.queueMilliseconds;
		if (concurrency.getLimit() === 0) {
			return refuse('queue-too-long', limits.queueMilliseconds);
		}

		if (time + wait.milliseconds > latestByDeadline) {
			return refuse('deadline-before-send', wait.milliseconds);
		}

		if (time + wait.milliseconds > latestByQueue) {
			return refuse(wait.failure, wait.milliseconds);
		}

		if (queue.getWaiting() >= (limits.maxWaiting ?? MAX_WAITING)) {
			const ousted = queue.removeFromLongest(queue.getWaitingOf(organisation) + 1);
			if (ousted === undefined) {
				return refuse('queue-full', wait.milliseconds);
			}

			pending.push({ticket: ousted, result: refuse('over-share', wait.milliseconds)});
		}

		const ticket: Ticket = {
			organisation,
			latestStart: Math.min(latestByDeadline, latestByQueue),
			isByDeadline: latestByDeadline < latestByQueue,
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

			// What waits goes first; what still waits then is held back by its own organisation's share.
			drain(time);
			if (canStart(time) && queue.getInFlightOf(organisation) < getOrganisationCap()) {
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
			queue.end(organisation, usual === 0 ? 1 : latencyMilliseconds / usual);
			if (ending === 'completed') {
				usual = usual === 0 ? latencyMilliseconds : usual + (LATENCY_WEIGHT * (latencyMilliseconds - usual));
			}

			drain(time);
			return takeChanges();
		},
		cancel: ticket => queue.remove(ticket),
		tick(time) {
			drain(time);
			return takeChanges();
		},
		setLimits(next, time) {
			concurrency.setCap(next.concurrency, {
				growth: getGrowth(limits.slots, next.slots),
				start: limits.slots === 0 || limits.concurrency < 1 ? next.slots : undefined,
			});
			limits = next;
			rate.setRate(next.ratePerSecond, time);
			drain(time);
			return takeChanges();
		},
		getStatus: () => ({
			limit: concurrency.getLimit(),
			inFlight,
			waiting: queue.getWaiting(),
			activeOrganisations: queue.getActiveOrganisations(),
			usualMilliseconds: usual,
		}),
	};
}

function getGrowth(before: number | undefined, after: number | undefined): number | undefined {
	return before === undefined || after === undefined || before === 0 ? undefined : Math.max(1, after / before);
}

function refuse(failure: AdmissionFailureKind, retryAfterMilliseconds: number): Refusal {
	return {kind: 'refused', failure, retryAfterMilliseconds};
}

function getWaitFailure(
	milliseconds: number,
	{byRate, byShare}: {readonly byRate: number; readonly byShare: number},
): AdmissionFailureKind {
	const causes: ReadonlyArray<readonly [AdmissionFailureKind, number]> = [['over-rate', byRate], ['over-share', byShare]];
	const cause = causes.find(([, wait]) => wait === milliseconds && milliseconds > 0);
	return cause?.[0] ?? 'queue-too-long';
}

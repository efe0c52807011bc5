/**
Admission to a service on this host: runs the admission controller with its queued requests, within this host's shares of
the fleet-wide limits.
*/
import * as admission from 'wagtailroute-admission';
import type * as catalogue from 'wagtailroute-catalogue';
import type * as core from 'wagtailroute-core';
import * as proxy from 'wagtailroute-proxy';
import type * as utils from 'wagtailroute-utils';
import {ADMISSION_TICK_INTERVAL_MILLISECONDS, MILLISECONDS_PER_SECOND} from './constants.ts';
import type {HostContext} from './context.ts';
import type {ServiceUsage, ShareLeases} from './share-leases.ts';

/**
Admission to one service.
*/
export type ServiceAdmission = {
	readonly admit: proxy.ServicePort['admit'];
	readonly release: proxy.ServicePort['release'];
	/**
	Usual latency of an answer of the service, in milliseconds.
	*/
	readonly getUsualMilliseconds: () => number;
	/**
	Sets the slots of all upstreams together, and the number of carriers that share them.
	*/
	readonly setCapacity: (slots: number, carriers: number) => void;
	readonly stop: utils.Teardown;
};

const FAILURE_KINDS: Readonly<Record<admission.AdmissionFailureKind, proxy.RequestFailureKind>> = {
	'over-rate': 'rate-limited',
	'over-share': 'limit-reached',
	'queue-full': 'limit-reached',
	'queue-too-long': 'queue-timeout',
	'deadline-before-send': 'deadline-before-send',
};

/**
Ends the wait of a queued request; without a failure it is admitted.
*/
type CompleteAdmission = (failure: proxy.RequestFailure | undefined) => void;

/**
Creates the admission of a service and opens its shares of the limits.
*/
export function createServiceAdmission(context: HostContext, entry: catalogue.Entry, shareLeases: ShareLeases): ServiceAdmission {
	const {now} = context;
	const waiting = new Map<admission.Ticket, CompleteAdmission>();
	let capacity = {slots: 0, carriers: 1};
	let stopTicking: utils.Teardown | undefined;
	let inFlight = 0;
	let peakDemand = 0;
	let requestCount = 0;
	let countedSince = now();

	const getUsage = (): ServiceUsage => ({
		concurrency: {inUse: inFlight, demand: Math.max(peakDemand, inFlight + waiting.size)},
		ratePerSecond: {inUse: 0, demand: requestCount * MILLISECONDS_PER_SECOND / Math.max(MILLISECONDS_PER_SECOND, now() - countedSince)},
	});

	const getLimits = (): admission.AdmissionLimits => computeLimits(entry.limits, shares.getAmounts(), capacity);

	const updateLimits = () => {
		const next = getLimits();
		if (next.concurrency === limits.concurrency && next.ratePerSecond === limits.ratePerSecond && next.slots === limits.slots) {
			return;
		}

		limits = next;
		applyResolutions(controller.setLimits(limits, now()));
	};

	const shares = shareLeases.open(entry, {
		getUsage,
		collectUsage() {
			const usage = getUsage();
			peakDemand = 0;
			requestCount = 0;
			countedSince = now();
			return usage;
		},
		getCarrierCount: () => capacity.carriers,
		onChange: updateLimits,
	});
	let limits = getLimits();
	const controller = admission.createAdmissionController(limits, now());

	const applyResolutions = (resolutions: readonly admission.TicketResolution[]) => {
		for (const {ticket, result} of resolutions) {
			const complete = waiting.get(ticket);
			waiting.delete(ticket);
			if (result.kind === 'admitted') {
				inFlight++;
			}

			if (complete !== undefined) {
				complete(result.kind === 'admitted' ? undefined : createRefusalFailure(entry.name, result));
			} else if (result.kind === 'admitted') {
				// The request was cancelled just before it was admitted.
				release({organisation: ticket.organisation, latencyMilliseconds: 0, ending: 'failed'});
			}
		}

		if (waiting.size > 0) {
			return;
		}

		stopTicking?.();
		stopTicking = undefined;
	};

	const release: proxy.ServicePort['release'] = ending => {
		inFlight--;
		applyResolutions(controller.release({...ending, now: now()}));
	};

	const enqueue = (ticket: admission.Ticket): proxy.PendingAdmission => {
		const {promise, resolve} = Promise.withResolvers<proxy.RequestFailure | undefined>();
		waiting.set(ticket, resolve);
		stopTicking ??= context.repeat(ADMISSION_TICK_INTERVAL_MILLISECONDS, () => {
			applyResolutions(controller.tick(now()));
		});
		return {
			result: promise,
			cancel() {
				if (!waiting.delete(ticket)) {
					return;
				}

				controller.cancel(ticket);
				resolve(createCancelledFailure());
			},
		};
	};

	const admitNow = (request: proxy.AdmissionRequest): ReturnType<proxy.ServicePort['admit']> => {
		const time = now();
		const {organisation, remainingMilliseconds} = request;
		const decision = controller.request({organisation, now: time, deadline: time + remainingMilliseconds});
		const pending = decision.kind === 'queued' ? enqueue(decision.ticket) : undefined;
		inFlight += decision.kind === 'admitted' ? 1 : 0;
		requestCount++;
		peakDemand = Math.max(peakDemand, inFlight + waiting.size + (decision.kind === 'refused' ? 1 : 0));
		return decision.kind === 'refused' ? createRefusalFailure(entry.name, decision) : pending;
	};

	return {
		admit(request) {
			return shares.isReady() ? admitNow(request) : waitForShares(shares.ready, request, {now, admitNow});
		},
		release,
		getUsualMilliseconds: () => controller.getStatus().usualMilliseconds,
		setCapacity(slots, carriers) {
			capacity = {slots, carriers};
			updateLimits();
		},
		stop() {
			shares.close();
			// Queued requests are still admitted or refused by the ticks, which end when the queue is empty.
		},
	};
}

/**
Holds the first requests of a service until its shares of the limits are known; without shares, an idle fleet would refuse
them.
*/
function waitForShares(
	ready: Promise<void>,
	request: proxy.AdmissionRequest,
	{now, admitNow}: {readonly now: () => number; readonly admitNow: proxy.ServicePort['admit']},
): proxy.PendingAdmission {
	const {promise, resolve} = Promise.withResolvers<proxy.RequestFailure | undefined>();
	const requestedAt = now();
	let pending: proxy.PendingAdmission | undefined;
	let isCancelled = false;
	const admitWhenReady = async () => {
		await ready;
		if (isCancelled) {
			return;
		}

		const admitted = admitNow({...request, remainingMilliseconds: request.remainingMilliseconds - (now() - requestedAt)});
		pending = admitted !== undefined && 'result' in admitted ? admitted : undefined;
		resolve(admitted !== undefined && 'result' in admitted ? admitted.result : admitted);
	};

	void admitWhenReady();
	return {
		result: promise,
		cancel() {
			isCancelled = true;
			pending?.cancel();
			resolve(createCancelledFailure());
		},
	};
}

function createCancelledFailure(): proxy.RequestFailure {
	return proxy.createRequestFailure('deadline-before-send', 'The request was given up while it waited for its turn.');
}

/**
Returns this host's part of the limits. It may use more than its even part of the slots, since not all carriers are busy at
once, and an upstream sheds what exceeds its slots. The shares are never exceeded.
*/
function computeLimits(
	limits: catalogue.Limits,
	shares: {readonly concurrency: number; readonly ratePerSecond?: number},
	{slots, carriers}: {readonly slots: number; readonly carriers: number},
): admission.AdmissionLimits {
	return {
		// Without upstreams a request is admitted, so that it is answered that there is none.
		concurrency: Math.min(Math.floor(shares.concurrency), Math.max(1, slots)),
		slots: Math.ceil(slots / carriers),
		ratePerSecond: shares.ratePerSecond,
		perOrganisationShare: limits.perOrganisationShare,
		queueMilliseconds: limits.queueMilliseconds,
	};
}

function createRefusalFailure(service: core.ServiceName, refusal: admission.Refusal): proxy.RequestFailure {
	return proxy.createRequestFailure(
		FAILURE_KINDS[refusal.failure],
		`${service} can not take the request now (${refusal.failure}).`,
		refusal.retryAfterMilliseconds,
	);
}

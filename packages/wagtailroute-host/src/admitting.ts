/**
Admission to a service on this host: the pure decisions of the admission package with their waiting requests, within this
host's shares of the fleet-wide limits.
*/
import * as admission from 'wagtailroute-admission';
import type * as catalogue from 'wagtailroute-catalogue';
import type * as core from 'wagtailroute-core';
import * as proxy from 'wagtailroute-proxy';
import type * as utils from 'wagtailroute-utils';
import {ADMISSION_TICK_MILLISECONDS, MILLISECONDS_PER_SECOND} from './constants.ts';
import type {HostContext} from './context.ts';
import type {ServiceUse, Sharing} from './sharing.ts';

/**
Admission to one service.
*/
export type Admitter = {
	readonly admit: proxy.ServicePort['admit'];
	readonly release: proxy.ServicePort['release'];
	/**
	Milliseconds that an answer usually takes.
	*/
	readonly getUsualMilliseconds: () => number;
	/**
	Follows the slots of all upstreams and the number of carriers that share them.
	*/
	readonly setCapacity: (slots: number, carriers: number) => void;
	readonly stop: utils.Teardown;
};

const FAILURES: Readonly<Record<admission.AdmissionFailureKind, proxy.RequestFailureKind>> = {
	'over-rate': 'rate-limited',
	'over-share': 'limit-reached',
	'queue-full': 'limit-reached',
	'queue-too-long': 'queue-timeout',
	'deadline-before-send': 'deadline-before-send',
};

type Settle = (failure: proxy.RequestFailure | undefined) => void;

/**
Creates the admission of a service.
*/
export function createAdmitter(context: HostContext, entry: catalogue.Entry, sharing: Sharing): Admitter {
	const {now} = context;
	const waiting = new Map<admission.Ticket, Settle>();
	let capacity = {slots: 0, carriers: 1};
	let tick: utils.Teardown | undefined;
	let inFlight = 0;
	let peak = 0;
	let asked = 0;
	let askedSince = now();

	const getUse = (): ServiceUse => ({
		concurrency: {inUse: inFlight, demand: Math.max(peak, inFlight + waiting.size)},
		ratePerSecond: {inUse: 0, demand: asked * MILLISECONDS_PER_SECOND / Math.max(MILLISECONDS_PER_SECOND, now() - askedSince)},
	});

	const getLimits = (): admission.AdmissionLimits => createLimits(entry.limits, shares.getAmounts(), capacity);

	const refresh = () => {
		const next = getLimits();
		if (next.concurrency === limits.concurrency && next.ratePerSecond === limits.ratePerSecond && next.slots === limits.slots) {
			return;
		}

		limits = next;
		settle(machine.setLimits(limits, now()));
	};

	const shares = sharing.open(entry, {
		getUse,
		takeUse() {
			const use = getUse();
			peak = 0;
			asked = 0;
			askedSince = now();
			return use;
		},
		getCarriers: () => capacity.carriers,
		onChange: refresh,
	});
	let limits = getLimits();
	const machine = admission.createAdmissionController(limits, now());

	const settle = (changes: readonly admission.TicketResolution[]) => {
		for (const {ticket, result} of changes) {
			const tell = waiting.get(ticket);
			waiting.delete(ticket);
			if (result.kind === 'admitted') {
				inFlight++;
			}

			if (tell !== undefined) {
				tell(result.kind === 'admitted' ? undefined : describe(entry.name, result));
			} else if (result.kind === 'admitted') {
				// Its caller left just before it was its turn.
				release({organisation: ticket.organisation, latencyMilliseconds: 0, ending: 'failed'});
			}
		}

		if (waiting.size > 0) {
			return;
		}

		tick?.();
		tick = undefined;
	};

	const release: proxy.ServicePort['release'] = ending => {
		inFlight--;
		settle(machine.release({...ending, now: now()}));
	};

	const enqueue = (ticket: admission.Ticket): proxy.PendingAdmission => {
		const {promise, resolve} = Promise.withResolvers<proxy.RequestFailure | undefined>();
		waiting.set(ticket, resolve);
		tick ??= context.repeat(ADMISSION_TICK_MILLISECONDS, () => {
			settle(machine.tick(now()));
		});
		return {
			result: promise,
			cancel() {
				if (!waiting.delete(ticket)) {
					return;
				}

				machine.cancel(ticket);
				resolve(createLeft());
			},
		};
	};

	const admitNow = (request: proxy.AdmissionRequest): ReturnType<proxy.ServicePort['admit']> => {
		const time = now();
		const {organisation, remainingMilliseconds} = request;
		const admittance = machine.request({organisation, now: time, deadline: time + remainingMilliseconds});
		const place = admittance.kind === 'queued' ? enqueue(admittance.ticket) : undefined;
		inFlight += admittance.kind === 'admitted' ? 1 : 0;
		asked++;
		peak = Math.max(peak, inFlight + waiting.size + (admittance.kind === 'refused' ? 1 : 0));
		return admittance.kind === 'refused' ? describe(entry.name, admittance) : place;
	};

	return {
		admit(request) {
			return shares.isReady() ? admitNow(request) : waitForShares(shares.ready, request, {now, admitNow});
		},
		release,
		getUsualMilliseconds: () => machine.getStatus().usualMilliseconds,
		setCapacity(slots, carriers) {
			capacity = {slots, carriers};
			refresh();
		},
		stop() {
			shares.close();
			// What still waits is served or refused by its own ticks, which end when nothing waits.
		},
	};
}

/**
The first requests of a service wait until its shares are there: refused, they would be refused by a fleet that is idle.
*/
function waitForShares(
	ready: Promise<void>,
	request: proxy.AdmissionRequest,
	{now, admitNow}: {readonly now: () => number; readonly admitNow: proxy.ServicePort['admit']},
): proxy.PendingAdmission {
	const {promise, resolve} = Promise.withResolvers<proxy.RequestFailure | undefined>();
	const askedAt = now();
	let place: proxy.PendingAdmission | undefined;
	let isCancelled = false;
	const goOn = async () => {
		await ready;
		if (isCancelled) {
			return;
		}

		const admitted = admitNow({...request, remainingMilliseconds: request.remainingMilliseconds - (now() - askedAt)});
		place = admitted !== undefined && 'result' in admitted ? admitted : undefined;
		resolve(admitted !== undefined && 'result' in admitted ? admitted.result : admitted);
	};

	void goOn();
	return {
		result: promise,
		cancel() {
			isCancelled = true;
			place?.cancel();
			resolve(createLeft());
		},
	};
}

function createLeft(): proxy.RequestFailure {
	return proxy.createRequestFailure('deadline-before-send', 'The request was given up while it waited for its turn.');
}

/**
This host's part of the limits. It may use more than its even part of the slots, since not all carriers are busy at once;
the upstreams' own sheds bound what that costs. The shares are never exceeded.
*/
function createLimits(
	limits: catalogue.Limits,
	shares: {readonly concurrency: number; readonly ratePerSecond?: number},
	{slots, carriers}: {readonly slots: number; readonly carriers: number},
): admission.AdmissionLimits {
	return {
		// Without upstreams a request is let through, to be told so.
		concurrency: Math.min(Math.floor(shares.concurrency), Math.max(1, slots)),
		slots: Math.ceil(slots / carriers),
		ratePerSecond: shares.ratePerSecond,
		perOrganisationShare: limits.perOrganisationShare,
		queueMilliseconds: limits.queueMilliseconds,
	};
}

function describe(service: core.ServiceName, refusal: admission.Refusal): proxy.RequestFailure {
	return proxy.createRequestFailure(
		FAILURES[refusal.failure],
		`${service} can not take the request now (${refusal.failure}).`,
		refusal.retryAfterMilliseconds,
	);
}

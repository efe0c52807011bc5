/**
Admission to a service on this host: the pure decisions of the admission package with their waiting requests.
*/
import * as admission from 'wagtailroute-admission';
import type * as catalogue from 'wagtailroute-catalogue';
import type * as core from 'wagtailroute-core';
import * as proxy from 'wagtailroute-proxy';
import type * as utils from 'wagtailroute-utils';
import {ADMISSION_TICK_MILLISECONDS} from './constants.ts';
import type {HostContext} from './context.ts';

/**
Admission to one service.
*/
export type Admitter = {
	readonly admit: proxy.ServicePort['admit'];
	readonly release: proxy.ServicePort['release'];
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

/**
Creates the admission of a service.
*/
export function createAdmitter(context: HostContext, entry: catalogue.Entry): Admitter {
	const {now} = context;
	const {limits} = entry;
	const machine = admission.createAdmission(createLimits(limits, Infinity, 1), now());
	const waiting = new Map<admission.Ticket, (failure: proxy.RequestFailure | undefined) => void>();
	let tick: utils.Teardown | undefined;

	const settle = (changes: readonly admission.TicketChange[]) => {
		for (const {ticket, result} of changes) {
			waiting.get(ticket)?.(result.kind === 'admitted' ? undefined : describe(entry.name, result));
			waiting.delete(ticket);
		}

		if (waiting.size > 0) {
			return;
		}

		tick?.();
		tick = undefined;
	};

	return {
		async admit({organisation, remainingMilliseconds}) {
			const time = now();
			const admittance = machine.request({organisation, now: time, deadline: time + remainingMilliseconds});
			if (admittance.kind === 'admitted') {
				return undefined;
			}

			if (admittance.kind === 'refused') {
				return describe(entry.name, admittance);
			}

			tick ??= context.repeat(ADMISSION_TICK_MILLISECONDS, () => {
				settle(machine.tick(now()));
			});
			return new Promise(resolve => {
				waiting.set(admittance.ticket, resolve);
			});
		},
		release(organisation, latencyMilliseconds) {
			settle(machine.release({
				organisation, now: now(), latencyMilliseconds, ending: 'completed',
			}));
		},
		setCapacity(slots, carriers) {
			settle(machine.setLimits(createLimits(limits, slots, carriers), now()));
		},
		stop() {
			tick?.();
		},
	};
}

/**
This host's part of the limits. A single host may use more than its even part of the slots, since not all carriers are busy
at once; the upstreams' own sheds bound what that costs. The limit itself is never exceeded.
*/
function createLimits(limits: catalogue.Limits, slots: number, carriers: number): admission.AdmissionLimits {
	const share = Math.max(1, Math.floor(limits.concurrency / carriers));
	return {
		concurrency: Math.max(1, Math.min(share, slots)),
		ratePerSecond: limits.ratePerSecond === undefined ? undefined : limits.ratePerSecond / carriers,
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

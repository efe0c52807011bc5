/**
The allotments of organisations at the dispatcher of a host: what is admitted, what the other dispatchers are told of it, and what is logged.
*/
import * as allotments from 'wagtailroute-allotments';
import type * as core from 'wagtailroute-core';
import type * as dispatch from 'wagtailroute-dispatch';
import type * as generations from 'wagtailroute-generations';
import * as utils from 'wagtailroute-utils';
import type {AbsenceTracker} from './absences.ts';
import type {RequestShare} from './request-share.ts';
import {MAX_ORGANISATION_LABELS, REFUSAL_LOG_INTERVAL_MILLISECONDS} from './constants.ts';
import type {FleetContext} from './context.ts';
import {type SlotDecision, METHODS} from './messages.ts';
import type {FleetSettings} from './settings.ts';

/**
Allotments at a dispatcher.
*/
export type AllotmentEnforcer = {
	readonly setOrganisations: (organisations: readonly generations.GenerationOrganisation[] | undefined) => void;
	/**
	Takes an ask from its organisation's allotment; a refusal when there is nothing left.
	*/
	readonly admit: (ask: dispatch.SlotRequest) => SlotDecision | undefined;
	/**
	Gives back what was taken for an ask that was granted no place.
	*/
	readonly refund: (ask: dispatch.SlotRequest) => void;
	/**
	Takes all that an entry host was admitted by other dispatchers in the last window, before it asks here for the first time.
	*/
	readonly applyPastUsage: (host: core.HostId, uses: readonly allotments.PastUsage[]) => void;
	/**
	@param sender Stands for the host that tells it: times of one sender are compared with each other.
	*/
	readonly applyReport: (news: allotments.UsageReport, sender: object) => void;
};

/**
What allotting needs.
*/
export type AllotmentEnforcerOptions = {
	readonly settings: FleetSettings['allotments'];
	/**
	Share of the entry hosts that ask this host's dispatcher: where others may be asked beside it, it gives out no more.
	*/
	readonly requestShare: Pick<RequestShare, 'get' | 'getHostShare'>;
	/**
	The entry hosts that are not heard here; absent on entry hosts.
	*/
	readonly absences?: Pick<AbsenceTracker, 'recordSlotRequest' | 'findAbsentSince' | 'endAbsence' | 'list'>;
	/**
	This host hears of all use even while it is not asked, as control hosts do.
	*/
	readonly isReceivingReports: boolean;
	/**
	Sends to the other hosts that may dispatch.
	*/
	readonly notifyDispatchers: (method: string, parameters: unknown) => void;
};

/**
Starts the allotments of a dispatcher.
*/
export function startAllotmentEnforcer(context: FleetContext, options: AllotmentEnforcerOptions): AllotmentEnforcer {
	const {now} = context;
	const limiter = allotments.createAllotmentLimiter({
		...options.settings,
		isReceivingReports: options.isReceivingReports,
		random: context.random,
		getShare: options.requestShare.get,
		listAbsences: options.absences?.list,
	}, now());
	const clocks = allotments.createSenderClocks();
	const logRefusal = createRefusalLog(context);

	const sendReport = () => {
		const report = limiter.collectReport(now());
		if (report === undefined) {
			return;
		}

		options.notifyDispatchers(METHODS.use, report);
		// Goes on until nothing was asked for a while: whoever misses it takes this host for cut off.
		scheduleReport();
	};

	const scheduleReport = utils.coalesce(context.schedule, allotments.REPORT_INTERVAL_MILLISECONDS, sendReport);

	return {
		setOrganisations(organisations = []) {
			limiter.setAllotments(organisations.map(({name, ratePerSecond, burst}) => ({organisation: name, ratePerSecond, burst})), now());
		},
		admit(ask) {
			options.absences?.recordSlotRequest(ask.host);
			if (ask.organisation === undefined) {
				return undefined;
			}

			const admission = limiter.admit(ask.organisation, ask.service, now());
			if (admission.kind === 'admitted') {
				if (admission.isReportUrgent) {
					sendReport();
				} else if (admission.isLimited) {
					scheduleReport();
				}

				return undefined;
			}

			logRefusal(ask, admission);
			return {kind: 'refuse', reason: 'allotment', retryAfterMilliseconds: admission.retryAfterMilliseconds};
		},
		refund({organisation, service}) {
			if (organisation !== undefined) {
				limiter.refund(organisation, service, now());
			}
		},
		applyPastUsage(host, uses) {
			limiter.applyPastUsage(uses, options.requestShare.getHostShare(), now(), options.absences?.findAbsentSince(host));
			options.absences?.endAbsence(host);
		},
		applyReport(report, sender) {
			limiter.applyReport(report, {at: clocks.convert(sender, report.at, now()), now: now()});
		},
	};
}

type Refusal = Extract<allotments.Admission, {kind: 'refused'}>;

/**
An organisation that floods is refused hundreds of times a second: each refusal is counted, one in a while is logged and tells how many there were.
*/
function createRefusalLog(context: FleetContext): (ask: dispatch.SlotRequest, refusal: Refusal) => void {
	const log = context.logs('allotment');
	const labels = new Set<string>();
	const lastLogged = new Map<core.Organisation, {readonly loggedAt: number; refusals: number}>();

	const getLabel = (organisation: string) => {
		if (labels.size < MAX_ORGANISATION_LABELS) {
			labels.add(organisation);
		}

		return labels.has(organisation) ? organisation : 'other';
	};

	return ({id, service, organisation = ''}, {ratePerSecond, used, fraction, reportAgeMilliseconds, retryAfterMilliseconds}) => {
		context.metrics.count('allotment_refusals', {organisation: getLabel(organisation)});
		const before = lastLogged.get(organisation);
		if (before !== undefined && context.now() - before.loggedAt < REFUSAL_LOG_INTERVAL_MILLISECONDS) {
			before.refusals++;
			return;
		}

		utils.setBounded(lastLogged, organisation, {loggedAt: context.now(), refusals: 0}, MAX_ORGANISATION_LABELS);
		log.warn('Organisation over its allotment.', {
			id,
			service,
			organisation,
			ratePerSecond,
			used: Math.round(used),
			part: Number(fraction.toFixed(2)),
			heardMillisecondsAgo: reportAgeMilliseconds === undefined ? undefined : Math.round(reportAgeMilliseconds),
			retryAfterMilliseconds: Math.round(retryAfterMilliseconds),
			refusedBefore: before?.refusals ?? 0,
		});
	};
}

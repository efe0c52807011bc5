/**
Enforces the allotments of organisations at the dispatcher of a host: admits slot requests, exchanges usage reports with the other dispatchers, and logs refusals.
*/
import * as allotments from 'wagtailroute-allotments';
import type * as core from 'wagtailroute-core';
import type * as dispatch from 'wagtailroute-dispatch';
import type * as generations from 'wagtailroute-generations';
import * as utils from 'wagtailroute-utils';
import type {AbsenceTracker} from './absences.ts';
import type {RequestShare} from './request-share.ts';
import {MAX_LENDING_HOSTS, MAX_ORGANISATION_LABELS, REFUSAL_LOG_INTERVAL_MILLISECONDS} from './constants.ts';
import type {FleetContext} from './context.ts';
import {type SlotDecision, METHODS} from './messages.ts';
import type {FleetSettings} from './settings.ts';

/**
Enforces allotments at a dispatcher.
*/
export type AllotmentEnforcer = {
	readonly setOrganisations: (organisations: readonly generations.GenerationOrganisation[] | undefined) => void;
	/**
	Deducts a slot request from its organisation's allotment; returns a refusal when the allotment is used up.
	*/
	readonly admit: (request: dispatch.SlotRequest) => SlotDecision | undefined;
	/**
	Refunds the token of a slot request that was granted no slot.
	*/
	readonly refund: (request: dispatch.SlotRequest) => void;
	/**
	Returns time that a host lent and takes back.
	*/
	readonly reclaimTime: (milliseconds: number) => void;
	/**
	Records all requests that other dispatchers admitted for an entry host in the last window, before it requests slots here for the first time.
	*/
	readonly applyPastUsage: (host: core.HostId, uses: readonly allotments.PastUsage[]) => void;
	/**
	Records what another dispatcher admitted.

	@param sender Identifies the reporting host: the clock offset is estimated per sender.
	*/
	readonly applyReport: (report: allotments.UsageReport, sender: object) => void;
};

/**
What the enforcer needs of its host.
*/
export type AllotmentEnforcerOptions = {
	readonly settings: FleetSettings['allotments'];
	/**
	Share of the entry hosts that request slots from this dispatcher. It admits no more than this share where other dispatchers may be in use at the same time.
	*/
	readonly requestShare: Pick<RequestShare, 'get' | 'getHostShare'>;
	/**
	The absent entry hosts; undefined on entry hosts.
	*/
	readonly absences?: Pick<AbsenceTracker, 'recordSlotRequest' | 'findAbsentSince' | 'endAbsence' | 'list'>;
	/**
	This host receives all usage reports even while it gets no slot requests, as control hosts do.
	*/
	readonly isReceivingReports: boolean;
	/**
	Sends a notification to the other hosts that may dispatch.
	*/
	readonly notifyDispatchers: (method: string, parameters: unknown) => void;
};

/**
Starts an enforcer without allotments.
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
	const lastRequestAt = new Map<core.HostId, number>();

	/**
	A host of an earlier version does not say how much time it lends: then it is all time since its last request here.
	*/
	const getLentMilliseconds = ({host, lentMilliseconds}: dispatch.SlotRequest) => {
		if (lentMilliseconds !== undefined) {
			return lentMilliseconds;
		}

		const milliseconds = now() - (lastRequestAt.get(host) ?? -Infinity);
		utils.setBounded(lastRequestAt, host, now(), MAX_LENDING_HOSTS);
		return milliseconds;
	};

	const sendReport = () => {
		const report = limiter.collectReport(now());
		if (report === undefined) {
			return;
		}

		options.notifyDispatchers(METHODS.use, report);
		// Reports continue until no slots have been requested for a while: a dispatcher that misses a report treats this host as cut off.
		scheduleReport();
	};

	const scheduleReport = utils.coalesce(context.schedule, allotments.REPORT_INTERVAL_MILLISECONDS, sendReport);

	return {
		setOrganisations(organisations = []) {
			limiter.setAllotments(organisations.map(({name, ratePerSecond, burst}) => ({organisation: name, ratePerSecond, burst})), now());
		},
		admit(request) {
			options.absences?.recordSlotRequest(request.host);
			if (request.organisation === undefined) {
				return undefined;
			}

			limiter.addLoan({
				milliseconds: getLentMilliseconds(request),
				isBurstLent: request.isBurstLent === true,
				hostShare: options.requestShare.getHostShare(),
			}, now());
			const admission = limiter.admit(request.organisation, request.service, now());
			if (admission.kind === 'admitted') {
				if (admission.isReportUrgent) {
					sendReport();
				} else if (admission.isLimited) {
					scheduleReport();
				}

				return undefined;
			}

			logRefusal(request, admission);
			return {kind: 'refuse', reason: 'allotment', retryAfterMilliseconds: admission.retryAfterMilliseconds};
		},
		refund({organisation, service}) {
			if (organisation !== undefined) {
				limiter.refund(organisation, service, now());
			}
		},
		reclaimTime(milliseconds) {
			if (milliseconds > 0) {
				limiter.addLoan({milliseconds: -milliseconds, isBurstLent: false, hostShare: options.requestShare.getHostShare()}, now());
			}
		},
		applyPastUsage(host, uses) {
			limiter.applyPastUsage(uses, now(), options.absences?.findAbsentSince(host));
			options.absences?.endAbsence(host);
		},
		applyReport(report, sender) {
			limiter.applyReport(report, {at: clocks.convert(sender, report.at, now()), now: now()});
		},
	};
}

type Refusal = Extract<allotments.Admission, {kind: 'refused'}>;

/**
Creates the log of refusals. An organisation that sends too much is refused hundreds of times a second: each refusal is counted in the metrics, but only one per
interval is logged, with the number of refusals since the previous line.
*/
function createRefusalLog(context: FleetContext): (request: dispatch.SlotRequest, refusal: Refusal) => void {
	const log = context.logs('allotment');
	const labels = new Set<string>();
	const lastLines = new Map<core.Organisation, {readonly loggedAt: number; refusals: number}>();

	const getLabel = (organisation: string) => {
		if (labels.size < MAX_ORGANISATION_LABELS) {
			labels.add(organisation);
		}

		return labels.has(organisation) ? organisation : 'other';
	};

	return ({id, service, organisation = ''}, refusal) => {
		context.metrics.count('allotment_refusals', {organisation: getLabel(organisation)});
		const lastLine = lastLines.get(organisation);
		if (lastLine !== undefined && context.now() - lastLine.loggedAt < REFUSAL_LOG_INTERVAL_MILLISECONDS) {
			lastLine.refusals++;
			return;
		}

		utils.setBounded(lastLines, organisation, {loggedAt: context.now(), refusals: 0}, MAX_ORGANISATION_LABELS);
		log.warn('Organisation exceeded its allotment.', {
			id,
			service,
			organisation,
			ratePerSecond: refusal.ratePerSecond,
			burst: refusal.burst,
			used: Math.round(refusal.used),
			part: Number(refusal.fraction.toFixed(2)),
			lentMilliseconds: roundDefined(refusal.lentMilliseconds),
			heardMillisecondsAgo: roundDefined(refusal.reportAgeMilliseconds),
			retryAfterMilliseconds: Math.round(refusal.retryAfterMilliseconds),
			refusedBefore: lastLine?.refusals ?? 0,
		});
	};
}

function roundDefined(value: number | undefined): number | undefined {
	return value === undefined ? undefined : Math.round(value);
}

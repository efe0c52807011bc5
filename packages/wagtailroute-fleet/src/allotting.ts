/**
The allotments of organisations at the dispatcher of a host: what is admitted, what the other dispatchers are told of it, and what is logged.
*/
import * as allotments from 'wagtailroute-allotments';
import type * as core from 'wagtailroute-core';
import type * as dispatch from 'wagtailroute-dispatch';
import type * as generations from 'wagtailroute-generations';
import * as utils from 'wagtailroute-utils';
import type {Absences} from './absences.ts';
import type {RequestShare} from './request-share.ts';
import {ORGANISATION_LABELS_MOST, REFUSALS_TOLD_MILLISECONDS} from './constants.ts';
import type {FleetContext} from './context.ts';
import {type SlotDecision, METHODS} from './messages.ts';
import type {FleetSettings} from './settings.ts';

/**
Allotments at a dispatcher.
*/
export type Allotting = {
	readonly setOrganisations: (organisations: readonly generations.GenerationOrganisation[] | undefined) => void;
	/**
	Takes an ask from its organisation's allotment; a refusal when there is nothing left.
	*/
	readonly admit: (ask: dispatch.Ask) => SlotDecision | undefined;
	/**
	Gives back what was taken for an ask that was granted no place.
	*/
	readonly giveBack: (ask: dispatch.Ask) => void;
	/**
	Takes all that an entry host was admitted by other dispatchers in the last window, before it asks here for the first time.
	*/
	readonly takeOver: (host: core.HostId, uses: readonly allotments.PastUse[]) => void;
	/**
	@param sender Stands for the host that tells it: times of one sender are compared with each other.
	*/
	readonly hearUse: (news: allotments.UseNews, sender: object) => void;
};

/**
What allotting needs.
*/
export type AllottingPlan = {
	readonly settings: FleetSettings['allotments'];
	/**
	Share of the entry hosts that ask this host's dispatcher: where others may be asked beside it, it gives out no more.
	*/
	readonly requestShare: Pick<RequestShare, 'get' | 'getOne'>;
	/**
	The entry hosts that are not heard here; absent on entry hosts.
	*/
	readonly absences?: Pick<Absences, 'recordAsk' | 'findStart' | 'end' | 'list'>;
	/**
	This host hears of all use even while it is not asked, as control hosts do.
	*/
	readonly isTold: boolean;
	/**
	Sends to the other hosts that may dispatch.
	*/
	readonly tellDispatchers: (method: string, parameters: unknown) => void;
};

/**
Starts the allotments of a dispatcher.
*/
export function startAllotting(context: FleetContext, plan: AllottingPlan): Allotting {
	const {now} = context;
	const ledger = allotments.createAllotments({
		...plan.settings,
		isTold: plan.isTold,
		random: context.random,
		getShare: plan.requestShare.get,
		listAbsences: plan.absences?.list,
	}, now());
	const clocks = allotments.createSenderClocks();
	const noteRefusal = createRefusalLog(context);

	const tell = () => {
		const news = ledger.takeNews(now());
		if (news === undefined) {
			return;
		}

		plan.tellDispatchers(METHODS.use, news);
		// Goes on until nothing was asked for a while: whoever misses it takes this host for cut off.
		tellLater();
	};

	const tellLater = utils.coalesce(context.schedule, allotments.TELL_MILLISECONDS, tell);

	return {
		setOrganisations(organisations = []) {
			ledger.setAllotments(organisations.map(({name, ratePerSecond, burst}) => ({organisation: name, ratePerSecond, burst})), now());
		},
		admit(ask) {
			plan.absences?.recordAsk(ask.host);
			if (ask.organisation === undefined) {
				return undefined;
			}

			const admission = ledger.admit(ask.organisation, ask.service, now());
			if (admission.kind === 'admitted') {
				if (admission.isUrgent) {
					tell();
				} else if (admission.isBound) {
					tellLater();
				}

				return undefined;
			}

			noteRefusal(ask, admission);
			return {kind: 'refuse', reason: 'allotment', retryAfterMilliseconds: admission.retryAfterMilliseconds};
		},
		giveBack({organisation, service}) {
			if (organisation !== undefined) {
				ledger.giveBack(organisation, service, now());
			}
		},
		takeOver(host, uses) {
			ledger.takeOver(uses, plan.requestShare.getOne(), now(), plan.absences?.findStart(host));
			plan.absences?.end(host);
		},
		hearUse(news, sender) {
			ledger.hearUse(news, {at: clocks.convert(sender, news.at, now()), now: now()});
		},
	};
}

type Refused = Extract<allotments.Admission, {kind: 'refused'}>;

/**
An organisation that floods is refused hundreds of times a second: each refusal is counted, one in a while is logged and tells how many there were.
*/
function createRefusalLog(context: FleetContext): (ask: dispatch.Ask, refused: Refused) => void {
	const log = context.logs('allotment');
	const labels = new Set<string>();
	const quiet = new Map<core.Organisation, {readonly loggedAt: number; refusals: number}>();

	const getLabel = (organisation: string) => {
		if (labels.size < ORGANISATION_LABELS_MOST) {
			labels.add(organisation);
		}

		return labels.has(organisation) ? organisation : 'other';
	};

	return ({id, service, organisation = ''}, {ratePerSecond, used, part, ageMilliseconds, retryAfterMilliseconds}) => {
		context.metrics.count('allotment_refusals', {organisation: getLabel(organisation)});
		const before = quiet.get(organisation);
		if (before !== undefined && context.now() - before.loggedAt < REFUSALS_TOLD_MILLISECONDS) {
			before.refusals++;
			return;
		}

		utils.setBounded(quiet, organisation, {loggedAt: context.now(), refusals: 0}, ORGANISATION_LABELS_MOST);
		log.warn('Organisation over its allotment.', {
			id,
			service,
			organisation,
			ratePerSecond,
			used: Math.round(used),
			part: Number(part.toFixed(2)),
			heardMillisecondsAgo: ageMilliseconds === undefined ? undefined : Math.round(ageMilliseconds),
			retryAfterMilliseconds: Math.round(retryAfterMilliseconds),
			refusedBefore: before?.refusals ?? 0,
		});
	};
}

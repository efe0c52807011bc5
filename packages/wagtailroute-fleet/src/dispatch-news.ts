/**
What the dispatcher of a host tells others: suspensions and readmissions, rate limits, and what it grants within these while another dispatcher is asked too.

The next dispatchers of a service, which are control hosts and its first standbys, are told at once or nearly so. Hosts that ask need beliefs only to dispatch
on their own, so they are told together.
*/
import type * as core from 'wagtailroute-core';
import type * as dispatch from 'wagtailroute-dispatch';
import * as utils from 'wagtailroute-utils';
import {BELIEF_NEWS_MILLISECONDS, RATE_LIMIT_NEWS_MILLISECONDS} from './constants.ts';
import type {FleetContext} from './context.ts';
import {type Belief, METHODS, type RateLimitTelling} from './messages.ts';

/**
Tells others.
*/
export type DispatchNews = {
	readonly tellBelief: (belief: Belief) => void;
	/**
	Tells what is new of rate limits.
	*/
	readonly tellRateLimits: () => void;
	/**
	A place of the service was granted: others are told if it counts within a rate limit that they give out as well.
	*/
	readonly noteGranted: (service: core.ServiceName) => void;
};

/**
What is needed to tell others.
*/
export type DispatchNewsPlan = {
	readonly dispatcher: Pick<dispatch.Dispatcher, 'isSharingRateLimits' | 'takeRateLimitNews'>;
	/**
	Returns the hosts that send requests of the service: the others would only be woken.
	*/
	readonly listAskers: (service: core.ServiceName) => readonly core.HostId[];
	/**
	Returns the entry hosts that dispatch the service next, when no control host does.
	*/
	readonly listStandbys: (service: core.ServiceName) => readonly core.HostId[];
	/**
	Sends to an entry host, if it has a link.
	*/
	readonly notify: (host: core.HostId, method: string, parameters: unknown) => void;
	/**
	Sends to the other control hosts.
	*/
	readonly tellControls: (method: string, parameters: unknown) => void;
};

/**
Begins with nothing to tell.
*/
export function createDispatchNews({now, schedule}: Pick<FleetContext, 'now' | 'schedule'>, plan: DispatchNewsPlan): DispatchNews {
	const {dispatcher} = plan;
	/**
	What askers have not been told yet, the last of each upstream.
	*/
	const untold = new Map<core.ServiceName, Map<core.UpstreamId, Belief>>();

	const tellNext = (service: core.ServiceName, method: string, parameters: unknown) => {
		for (const host of plan.listStandbys(service)) {
			plan.notify(host, method, parameters);
		}

		plan.tellControls(method, parameters);
	};

	const tellAskersLater = utils.coalesce(schedule, BELIEF_NEWS_MILLISECONDS, () => {
		for (const [service, news] of untold) {
			const standbys = new Set(plan.listStandbys(service));
			for (const host of new Set(plan.listAskers(service)).difference(standbys)) {
				plan.notify(host, METHODS.beliefNews, news.values().toArray());
			}
		}

		untold.clear();
	});

	const tellRateLimits = utils.coalesce(schedule, RATE_LIMIT_NEWS_MILLISECONDS, () => {
		for (const [service, limits] of dispatcher.takeRateLimitNews(now())) {
			tellNext(service, METHODS.rateLimits, {service, limits} satisfies RateLimitTelling);
		}
	});

	return {
		tellBelief(belief) {
			const {service, upstream} = belief;
			tellNext(service, METHODS.believe, belief);
			const news = untold.get(service) ?? new Map<core.UpstreamId, Belief>();
			untold.set(service, news);
			news.set(upstream, belief);
			tellAskersLater();
		},
		tellRateLimits,
		noteGranted(service) {
			if (dispatcher.isSharingRateLimits(service, now())) {
				tellRateLimits();
			}
		},
	};
}

/**
Updates that the dispatcher of a host sends to others: suspensions, readmissions, what upstreams advertise, and grants within rate limits that
other dispatchers grant from as well.

Control hosts and the first standbys of a service may dispatch it next, so they receive updates promptly. Hosts that request slots need
beliefs only in order to dispatch on their own, so theirs are batched.
*/
import type * as core from 'wagtailroute-core';
import type * as dispatch from 'wagtailroute-dispatch';
import * as utils from 'wagtailroute-utils';
import {BELIEF_BATCH_MILLISECONDS, UPDATE_BATCH_MILLISECONDS} from './constants.ts';
import type {FleetContext} from './context.ts';
import {type Belief, METHODS, type ServiceUpdates} from './messages.ts';

/**
Sends the updates of a dispatcher.
*/
export type PeerUpdates = {
	/**
	Sends a belief to the hosts that may dispatch next, and schedules it for the hosts that request slots.
	*/
	readonly publishBelief: (belief: Belief) => void;
	/**
	Schedules the pending updates of what upstreams advertise.
	*/
	readonly publishUpdates: () => void;
	/**
	Called for each grant: other dispatchers must know of it if they grant from the same rate limit.
	*/
	readonly onGranted: (service: core.ServiceName) => void;
};

/**
What sending updates depends on.
*/
export type PeerUpdatesOptions = {
	readonly dispatcher: Pick<dispatch.Dispatcher, 'isSharingRateLimits' | 'flushUpdates'>;
	/**
	Returns the hosts that lately requested slots of the service.
	*/
	readonly listRequestingHosts: (service: core.ServiceName) => readonly core.HostId[];
	/**
	Returns the entry hosts that dispatch the service next, when no control host does.
	*/
	readonly listStandbys: (service: core.ServiceName) => readonly core.HostId[];
	/**
	Sends a message to an entry host, if it has a link.
	*/
	readonly notify: (host: core.HostId, method: string, parameters: unknown) => void;
	/**
	Sends a message to the other control hosts.
	*/
	readonly notifyControlHosts: (method: string, parameters: unknown) => void;
};

/**
Creates the sender, with no update pending.
*/
export function createPeerUpdates({now, schedule}: Pick<FleetContext, 'now' | 'schedule'>, options: PeerUpdatesOptions): PeerUpdates {
	const {dispatcher} = options;
	/**
	The last belief about each upstream that the requesting hosts have not received.
	*/
	const pendingBeliefs = new Map<core.ServiceName, Map<core.UpstreamId, Belief>>();

	const notifySuccessors = (service: core.ServiceName, method: string, parameters: unknown) => {
		for (const host of options.listStandbys(service)) {
			options.notify(host, method, parameters);
		}

		options.notifyControlHosts(method, parameters);
	};

	const notifyRequestingHosts = utils.coalesce(schedule, BELIEF_BATCH_MILLISECONDS, () => {
		for (const [service, beliefs] of pendingBeliefs) {
			const standbys = new Set(options.listStandbys(service));
			for (const host of new Set(options.listRequestingHosts(service)).difference(standbys)) {
				options.notify(host, METHODS.beliefNews, beliefs.values().toArray());
			}
		}

		pendingBeliefs.clear();
	});

	const publishUpdates = utils.coalesce(schedule, UPDATE_BATCH_MILLISECONDS, () => {
		for (const [service, updates] of dispatcher.flushUpdates(now())) {
			notifySuccessors(service, METHODS.updates, {service, updates} satisfies ServiceUpdates);
		}
	});

	return {
		publishBelief(belief) {
			const {service, upstream} = belief;
			notifySuccessors(service, METHODS.believe, belief);
			const beliefs = pendingBeliefs.get(service) ?? new Map<core.UpstreamId, Belief>();
			pendingBeliefs.set(service, beliefs);
			beliefs.set(upstream, belief);
			notifyRequestingHosts();
		},
		publishUpdates,
		onGranted(service) {
			if (dispatcher.isSharingRateLimits(service, now())) {
				publishUpdates();
			}
		},
	};
}

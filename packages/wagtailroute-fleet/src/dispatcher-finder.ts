/**
Finds the dispatcher of a service: the first responsive control host in the service's order; while most control hosts are unresponsive, the first
responsive standby, which is an entry host; otherwise this host itself.

A dispatcher that did not answer in time is skipped until a message from it arrives again. A frozen host is silent on all its links for seconds:
trying it again every second would delay some requests of each host by a quarter of a second each time.
*/
import type * as core from 'wagtailroute-core';
import type * as link from 'wagtailroute-link';
import {SILENT_DISPATCHER_MILLISECONDS, UNRESPONSIVE_DISPATCHER_MILLISECONDS} from './constants.ts';
import type {FleetContext} from './context.ts';
import type {LinkedHost} from './control-links.ts';
import {orderDispatchers} from './dispatch-order.ts';

/**
Finds dispatchers, and skips the unresponsive ones.
*/
export type DispatcherFinder = {
	/**
	Returns the dispatcher of a service; undefined when it is this host itself.
	*/
	readonly find: (service: core.ServiceName) => LinkedHost | undefined;
	/**
	Records that a dispatcher did not answer in time, or knows no upstream of a service. It is skipped for a while, and until a message from it arrives.
	*/
	readonly markUnresponsive: (dispatcher: LinkedHost) => void;
	/**
	Returns the linked control hosts that are not marked as unresponsive.
	*/
	readonly listResponsiveControlHosts: () => readonly LinkedHost[];
};

/**
The hosts that a finder chooses from.
*/
export type DispatcherFinderOptions = {
	readonly hostId: core.HostId;
	readonly getControlHosts: () => readonly LinkedHost[];
	readonly getStandbys: () => readonly LinkedHost[];
	/**
	Returns whether this host is one of the fleet's standbys.
	*/
	readonly isOwnHostStandby: () => boolean;
};

/**
Creates a finder that treats every dispatcher as responsive until it is marked as unresponsive.
*/
export function createDispatcherFinder({now}: Pick<FleetContext, 'now'>, options: DispatcherFinderOptions): DispatcherFinder {
	const unresponsiveSince = new WeakMap<link.Link, number>();
	const isResponsive = ({link}: LinkedHost) => {
		const since = unresponsiveSince.get(link) ?? -Infinity;
		const lastMessageAt = now() - link.getSilenceMilliseconds();
		return now() - since >= UNRESPONSIVE_DISPATCHER_MILLISECONDS && lastMessageAt > since;
	};

	const findControlHost = (service: core.ServiceName) => {
		const open = options.getControlHosts();
		const responsive = open.filter(control => isResponsive(control));
		// When most did not answer in time, the others probably will not either, and each request that tries them loses a quarter of a second.
		const candidates = responsive.length * 2 < open.length ? [] : responsive;
		return orderDispatchers(service, candidates, control => control.host.id)
			.find(control => control.link.getSilenceMilliseconds() < SILENT_DISPATCHER_MILLISECONDS);
	};

	const findStandby = (service: core.ServiceName) => {
		const standbys = options.getStandbys().filter(standby => isResponsive(standby));
		const ids = [...standbys.map(standby => standby.host.id), ...options.isOwnHostStandby() ? [options.hostId] : []];
		const first = orderDispatchers(service, ids, id => id)[0];
		return standbys.find(standby => standby.host.id === first);
	};

	return {
		find: service => findControlHost(service) ?? findStandby(service),
		markUnresponsive(dispatcher) {
			unresponsiveSince.set(dispatcher.link, now());
		},
		listResponsiveControlHosts: () => options.getControlHosts().filter(control => isResponsive(control)),
	};
}

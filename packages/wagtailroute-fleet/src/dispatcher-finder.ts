/**
Which dispatcher a host asks: of the control hosts the first in the order of the service that answered its last ask in time; while most of
them do not answer, the first of the standbys, which are entry hosts; else itself.

One that did not answer is passed over until it was heard again. A host that stands still is silent on all its links for
seconds; asked again every second, it would cost some requests of each host a quarter of a second each time.
*/
import type * as core from 'wagtailroute-core';
import type * as link from 'wagtailroute-link';
import {SILENT_DISPATCHER_MILLISECONDS, UNRESPONSIVE_DISPATCHER_MILLISECONDS} from './constants.ts';
import type {FleetContext} from './context.ts';
import type {LinkedHost} from './control-links.ts';
import {orderDispatchers} from './dispatch-order.ts';

/**
Finds dispatchers.
*/
export type DispatcherFinder = {
	/**
	Returns the dispatcher to ask for a service; none when it is this host itself.
	*/
	readonly find: (service: core.ServiceName) => LinkedHost | undefined;
	/**
	A dispatcher did not answer in time: it is passed over for a while.
	*/
	readonly markUnresponsive: (dispatcher: LinkedHost) => void;
	/**
	Returns the control hosts that nothing is known against.
	*/
	readonly listResponsiveControlHosts: () => readonly LinkedHost[];
};

/**
Whom a finder chooses from.
*/
export type DispatcherFinderOptions = {
	readonly hostId: core.HostId;
	readonly getControlHosts: () => readonly LinkedHost[];
	readonly getStandbys: () => readonly LinkedHost[];
	/**
	This host is told to all as a standby.
	*/
	readonly isOwnHostStandby: () => boolean;
};

/**
Creates a finder that knows nothing against any dispatcher.
*/
export function createDispatcherFinder({now}: Pick<FleetContext, 'now'>, options: DispatcherFinderOptions): DispatcherFinder {
	const unresponsiveSince = new WeakMap<link.Link, number>();
	const isResponsive = ({link}: LinkedHost) => {
		const since = unresponsiveSince.get(link) ?? -Infinity;
		const heardAt = now() - link.getSilence();
		return now() - since >= UNRESPONSIVE_DISPATCHER_MILLISECONDS && heardAt > since;
	};

	const findControlHost = (service: core.ServiceName) => {
		const open = options.getControlHosts();
		const responsive = open.filter(control => isResponsive(control));
		// Most did not answer in time: the others will not either, and each request that tries loses a quarter of a second.
		const candidates = responsive.length * 2 < open.length ? [] : responsive;
		return orderDispatchers(service, candidates, control => control.host.id)
			.find(control => control.link.getSilence() < SILENT_DISPATCHER_MILLISECONDS);
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

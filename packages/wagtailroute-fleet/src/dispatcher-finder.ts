/**
Finds the dispatcher of a service, or of one of its pools: the first responsive control host in its order; while most control hosts are unresponsive, the first
responsive standby, which is an entry host; otherwise this host itself.

A dispatcher that did not answer in time is skipped until a message from it arrives again. A frozen host is silent on all its links for seconds:
trying it again every second would delay some requests of each host by a quarter of a second each time.
*/
import type * as core from 'wagtailroute-core';
import type * as link from 'wagtailroute-link';
import {SILENT_DISPATCHER_MILLISECONDS, UNRESPONSIVE_DISPATCHER_MILLISECONDS} from './constants.ts';
import type {FleetContext} from './context.ts';
import type {LinkedHost} from './control-links.ts';
import {orderPoolDispatchers} from './dispatch-order.ts';
import type {Pool} from './pools/pool-key.ts';

/**
Finds dispatchers, and skips the unresponsive ones.
*/
export type DispatcherFinder = {
	/**
	Returns the dispatcher of a service or a pool; undefined when it is this host itself.
	*/
	readonly find: (pool: Pool) => LinkedHost | undefined;
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
	readonly failureDomain: core.FailureDomain;
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

	const findControlHost = (pool: Pool) => {
		const open = options.getControlHosts();
		const responsive = open.filter(control => isResponsive(control));
		// When most did not answer in time, the others probably will not either, and each request that tries them loses a quarter of a second.
		const candidates = responsive.length * 2 < open.length ? [] : responsive;
		return orderPoolDispatchers(pool, candidates, control => control.host)
			.find(control => control.link.getSilenceMilliseconds() < SILENT_DISPATCHER_MILLISECONDS);
	};

	const findStandby = (pool: Pool) => {
		const standbys = options.getStandbys().filter(standby => isResponsive(standby));
		const ownHost = {id: options.hostId, failureDomain: options.failureDomain};
		const hosts = [...standbys.map(standby => standby.host), ...options.isOwnHostStandby() ? [ownHost] : []];
		const first = orderPoolDispatchers(pool, hosts, host => host)[0];
		return standbys.find(standby => standby.host.id === first?.id);
	};

	return {
		find: pool => findControlHost(pool) ?? findStandby(pool),
		markUnresponsive(dispatcher) {
			unresponsiveSince.set(dispatcher.link, now());
		},
		listResponsiveControlHosts: () => options.getControlHosts().filter(control => isResponsive(control)),
	};
}

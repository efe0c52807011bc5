/**
Which dispatcher a host asks: of the control hosts the first in the order of the service that answered its last ask in time; while most of
them do not answer, the first of the standbys, which are entry hosts; else itself.

One that did not answer is passed over until it was heard again. A host that stands still is silent on all its links for
seconds; asked again every second, it would cost some requests of each host a quarter of a second each time.
*/
import type * as core from 'wagtailroute-core';
import type * as link from 'wagtailroute-link';
import {SILENT_DISPATCHER_MILLISECONDS, SLOW_DISPATCHER_MILLISECONDS} from './constants.ts';
import type {FleetContext} from './context.ts';
import type {OpenControl} from './control-links.ts';
import {orderDispatchers} from './dispatch-order.ts';

/**
Finds dispatchers.
*/
export type DispatcherFinder = {
	/**
	Returns the dispatcher to ask for a service; none when it is this host itself.
	*/
	readonly find: (service: core.ServiceName) => OpenControl | undefined;
	/**
	A dispatcher did not answer in time: it is passed over for a while.
	*/
	readonly noteSlow: (dispatcher: OpenControl) => void;
	/**
	Returns the control hosts that nothing is known against.
	*/
	readonly listAnswering: () => readonly OpenControl[];
};

/**
Whom a finder chooses from.
*/
export type FinderPlan = {
	readonly self: core.HostId;
	readonly getControls: () => readonly OpenControl[];
	readonly getStandbys: () => readonly OpenControl[];
	/**
	This host is told to all as a standby.
	*/
	readonly isStandby: () => boolean;
};

/**
Creates a finder that knows nothing against any dispatcher.
*/
export function createDispatcherFinder({now}: Pick<FleetContext, 'now'>, plan: FinderPlan): DispatcherFinder {
	const slowSince = new WeakMap<link.Link, number>();
	const isAnswering = ({link}: OpenControl) => {
		const since = slowSince.get(link) ?? -Infinity;
		const heardAt = now() - link.getSilence();
		return now() - since >= SLOW_DISPATCHER_MILLISECONDS && heardAt > since;
	};

	const findControl = (service: core.ServiceName) => {
		const open = plan.getControls();
		const answering = open.filter(control => isAnswering(control));
		// Most did not answer in time: the others will not either, and each request that tries loses a quarter of a second.
		const candidates = answering.length * 2 < open.length ? [] : answering;
		return orderDispatchers(service, candidates, control => control.host.id)
			.find(control => control.link.getSilence() < SILENT_DISPATCHER_MILLISECONDS);
	};

	const findStandby = (service: core.ServiceName) => {
		const standbys = plan.getStandbys().filter(standby => isAnswering(standby));
		const ids = [...standbys.map(standby => standby.host.id), ...plan.isStandby() ? [plan.self] : []];
		const first = orderDispatchers(service, ids, id => id)[0];
		return standbys.find(standby => standby.host.id === first);
	};

	return {
		find: service => findControl(service) ?? findStandby(service),
		noteSlow(dispatcher) {
			slowSince.set(dispatcher.link, now());
		},
		listAnswering: () => plan.getControls().filter(control => isAnswering(control)),
	};
}

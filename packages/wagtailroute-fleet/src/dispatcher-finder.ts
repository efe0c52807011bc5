/**
Which dispatcher a host asks: the first in the order of the service that answered its last ask in time.

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
	Returns the dispatcher to ask for a service; none when the host had better dispatch alone.
	*/
	readonly find: (service: core.ServiceName) => OpenControl | undefined;
	/**
	A dispatcher did not answer in time: it is passed over for a while.
	*/
	readonly noteSlow: (dispatcher: OpenControl) => void;
};

/**
Creates a finder that knows nothing against any dispatcher.
*/
export function createDispatcherFinder({now}: Pick<FleetContext, 'now'>, getOpen: () => readonly OpenControl[]): DispatcherFinder {
	const slowSince = new WeakMap<link.Link, number>();
	const isAnswering = ({link}: OpenControl) => {
		const since = slowSince.get(link) ?? -Infinity;
		const heardAt = now() - link.getSilence();
		return now() - since >= SLOW_DISPATCHER_MILLISECONDS && heardAt > since;
	};

	return {
		find(service) {
			const open = getOpen();
			const answering = open.filter(control => isAnswering(control));
			// Most did not answer in time: the others will not either, and each request that tries loses a quarter of a second.
			const candidates = answering.length * 2 < open.length ? [] : answering;
			return orderDispatchers(service, candidates, control => control.host.id)
				.find(control => control.link.getSilence() < SILENT_DISPATCHER_MILLISECONDS);
		},
		noteSlow(dispatcher) {
			slowSince.set(dispatcher.link, now());
		},
	};
}

/**
Which dispatcher a host asks: the first in the order of the service that answered its last ask in time.
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
	const slowUntil = new WeakMap<link.Link, number>();
	return {
		find(service) {
			const open = getOpen();
			const answering = open.filter(control => (slowUntil.get(control.link) ?? -Infinity) <= now());
			// Most did not answer in time: the others will not either, and each request that tries loses a quarter of a second.
			const candidates = answering.length * 2 < open.length ? [] : answering;
			return orderDispatchers(service, candidates, control => control.host.id)
				.find(control => control.link.getSilence() < SILENT_DISPATCHER_MILLISECONDS);
		},
		noteSlow(dispatcher) {
			slowUntil.set(dispatcher.link, now() + SLOW_DISPATCHER_MILLISECONDS);
		},
	};
}

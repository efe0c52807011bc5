/**
The places that an entry host holds at upstreams, and who gave each.

A dispatcher that the host turns to anew does not know what is under way from here: it is told, or it would fill slots that are taken.
*/
import type * as core from 'wagtailroute-core';
import type * as dispatch from 'wagtailroute-dispatch';
import type * as link from 'wagtailroute-link';
import type {LinkedHost} from './control-links.ts';
import {type Holding, METHODS} from './messages.ts';
import type {Advertisements} from './advertisements.ts';
import type {RecentUses} from './recent-uses.ts';

/**
A place that was granted.
*/
export type HeldSlot = {
	readonly request: dispatch.Ask;
	readonly upstream: core.UpstreamId;
	/**
	Monotonic time in milliseconds.
	*/
	readonly grantedAt: number;
	/**
	Absent when this host dispatched alone.
	*/
	readonly dispatcher?: LinkedHost;
};

/**
The places of a host.
*/
export type HeldSlots = {
	readonly add: (held: HeldSlot) => void;
	/**
	Removes a place and returns it, if it is held.
	*/
	readonly remove: (id: dispatch.AskId) => HeldSlot | undefined;
	/**
	Returns a place, if it is held.
	*/
	readonly find: (id: dispatch.AskId) => HeldSlot | undefined;
	readonly count: () => number;
	/**
	Tells a dispatcher the places of a service, what its upstreams advertised and what callers were admitted, if the last ask for it went elsewhere.
	*/
	readonly reportTo: (service: core.ServiceName, dispatcher: LinkedHost) => void;
};

/**
What a dispatcher is told beside the places.
*/
export type HeldSlotsOptions = {
	readonly advertisements: Pick<Advertisements, 'list'>;
	readonly recentUses: Pick<RecentUses, 'takeUntold'>;
	/**
	Returns how many entry hosts serve callers, 0 when it is not known.
	*/
	readonly countEntryHosts: () => number;
};

/**
Creates an empty table.

@param now Monotonic time in milliseconds.
*/
export function createHeldSlots(now: () => number, {advertisements, recentUses, countEntryHosts}: HeldSlotsOptions): HeldSlots {
	const slots = new Map<dispatch.AskId, HeldSlot>();
	const lastDispatcherLinks = new Map<core.ServiceName, link.Link>();

	const toReport = ({request, upstream, grantedAt}: HeldSlot): dispatch.HeldPlace => ({
		id: request.id,
		host: request.host,
		service: request.service,
		route: request.route,
		upstream,
		ageMilliseconds: now() - grantedAt,
		remainingMilliseconds: request.remainingMilliseconds - (now() - grantedAt),
	});

	return {
		add(held) {
			slots.set(held.request.id, held);
		},
		remove(id) {
			const held = slots.get(id);
			slots.delete(id);
			return held;
		},
		find: id => slots.get(id),
		count: () => slots.size,
		reportTo(service, dispatcher) {
			if (lastDispatcherLinks.get(service) === dispatcher.link) {
				return;
			}

			lastDispatcherLinks.set(service, dispatcher.link);
			const held = slots.values().filter(({request}) => request.service === service).map(slot => toReport(slot)).toArray();
			const updates = advertisements.list(service);
			const uses = recentUses.takeUntold(dispatcher.link);
			dispatcher.link.notify(METHODS.hold, {
				service,
				places: held,
				...updates.length > 0 && {updates},
				...uses !== undefined && {uses, entryHosts: countEntryHosts()},
			} satisfies Holding);
		},
	};
}

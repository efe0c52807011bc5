/**
The places that an entry host holds at upstreams, and who gave each.

A dispatcher that the host turns to anew does not know what is under way from here: it is told, or it would fill slots that are taken.
*/
import type * as core from 'wagtailroute-core';
import type * as dispatch from 'wagtailroute-dispatch';
import type * as link from 'wagtailroute-link';
import type {OpenControl} from './control-links.ts';
import {type HandoverReport, METHODS} from './messages.ts';
import type {Advertisements} from './advertisements.ts';
import type {RecentUses} from './recent-uses.ts';

/**
A place that was granted.
*/
export type Held = {
	readonly ask: dispatch.Ask;
	readonly upstream: core.UpstreamId;
	/**
	Monotonic time in milliseconds.
	*/
	readonly grantedAt: number;
	/**
	Absent when this host dispatched alone.
	*/
	readonly dispatcher?: OpenControl;
};

/**
The places of a host.
*/
export type HeldPlaces = {
	readonly add: (held: Held) => void;
	/**
	Removes a place and returns it, if it is held.
	*/
	readonly take: (id: dispatch.AskId) => Held | undefined;
	/**
	Returns a place, if it is held.
	*/
	readonly find: (id: dispatch.AskId) => Held | undefined;
	readonly count: () => number;
	/**
	Tells a dispatcher the places of a service, what its upstreams advertised and what callers were admitted, if the last ask for it went elsewhere.
	*/
	readonly tell: (service: core.ServiceName, dispatcher: OpenControl) => void;
};

/**
What a dispatcher is told beside the places.
*/
export type HeldPlacesPlan = {
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
export function createHeldPlaces(now: () => number, {advertisements, recentUses, countEntryHosts}: HeldPlacesPlan): HeldPlaces {
	const places = new Map<dispatch.AskId, Held>();
	const lastLinks = new Map<core.ServiceName, link.Link>();

	const describe = ({ask, upstream, grantedAt}: Held): dispatch.HeldPlace => ({
		id: ask.id,
		host: ask.host,
		service: ask.service,
		route: ask.route,
		upstream,
		ageMilliseconds: now() - grantedAt,
		remainingMilliseconds: ask.remainingMilliseconds - (now() - grantedAt),
	});

	return {
		add(held) {
			places.set(held.ask.id, held);
		},
		take(id) {
			const held = places.get(id);
			places.delete(id);
			return held;
		},
		find: id => places.get(id),
		count: () => places.size,
		tell(service, dispatcher) {
			if (lastLinks.get(service) === dispatcher.link) {
				return;
			}

			lastLinks.set(service, dispatcher.link);
			const held = places.values().filter(({ask}) => ask.service === service).map(place => describe(place)).toArray();
			const updates = advertisements.list(service);
			const uses = recentUses.takeUntold(dispatcher.link);
			dispatcher.link.notify(METHODS.hold, {
				service,
				places: held,
				...updates.length > 0 && {updates},
				...uses !== undefined && {uses, entryHosts: countEntryHosts()},
			} satisfies HandoverReport);
		},
	};
}

/**
The slots that an entry host holds at upstreams, and the dispatcher that granted each.

A dispatcher that the host starts to use does not know which slots the host holds. The host reports them first; otherwise the dispatcher would
grant slots that are in use.
*/
import type * as core from 'wagtailroute-core';
import type * as dispatch from 'wagtailroute-dispatch';
import type * as link from 'wagtailroute-link';
import type {LinkedHost} from './control-links.ts';
import {type HandoverReport, METHODS} from './messages.ts';
import {getPoolKey, type Pool} from './pools/pool-key.ts';
import type {Advertisements} from './advertisements.ts';
import type {RecentUsage} from './recent-usage.ts';

/**
A granted slot whose attempt has not ended.
*/
export type HeldSlot = {
	readonly request: dispatch.SlotRequest;
	readonly upstream: core.UpstreamId;
	/**
	Monotonic time in milliseconds.
	*/
	readonly grantedAt: number;
	/**
	Absent when this host's own dispatcher granted the slot.
	*/
	readonly dispatcher?: LinkedHost;
};

/**
The slots that a host holds, by the ID of their slot requests.
*/
export type HeldSlots = {
	readonly add: (held: HeldSlot) => void;
	/**
	Removes a slot and returns it; undefined if it is not held.
	*/
	readonly remove: (id: dispatch.SlotRequestId) => HeldSlot | undefined;
	/**
	Returns a slot; undefined if it is not held.
	*/
	readonly find: (id: dispatch.SlotRequestId) => HeldSlot | undefined;
	readonly count: () => number;
	/**
	Reports to a dispatcher the slots held of a service, what its upstreams advertised and which uses of allotments were admitted. Does nothing if the pool's last report went to the same link.
	*/
	readonly reportTo: (pool: Pool, dispatcher: LinkedHost) => void;
};

/**
What is reported to a dispatcher together with the held slots.
*/
export type HeldSlotsOptions = {
	readonly advertisements: Pick<Advertisements, 'list'>;
	readonly recentUsage: Pick<RecentUsage, 'collectUnreported'>;
	/**
	Returns how many entry hosts serve callers, 0 when it is not known.
	*/
	readonly countEntryHosts: () => number;
};

/**
Creates an empty table.

@param now Monotonic time in milliseconds.
*/
export function createHeldSlots(now: () => number, {advertisements, recentUsage, countEntryHosts}: HeldSlotsOptions): HeldSlots {
	const slots = new Map<dispatch.SlotRequestId, HeldSlot>();
	const lastDispatcherLinks = new Map<string, link.Link>();

	const toReport = ({request, upstream, grantedAt}: HeldSlot): dispatch.HeldSlotReport => ({
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
		reportTo({service, pool}, dispatcher) {
			const key = getPoolKey({service, pool});
			if (lastDispatcherLinks.get(key) === dispatcher.link) {
				return;
			}

			lastDispatcherLinks.set(key, dispatcher.link);
			const held = slots.values().filter(({request}) => request.service === service).map(slot => toReport(slot)).toArray();
			const updates = advertisements.list(service);
			const uses = recentUsage.collectUnreported(dispatcher.link);
			dispatcher.link.notify(METHODS.hold, {
				service,
				...pool !== undefined && {pool},
				places: held,
				...updates.length > 0 && {updates},
				...uses !== undefined && {uses, entryHosts: countEntryHosts()},
			} satisfies HandoverReport);
		},
	};
}

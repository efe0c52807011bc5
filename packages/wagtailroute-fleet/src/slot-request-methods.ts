/**
The methods of a dispatcher that other hosts call over their links to request slots. Routes and organisations are announced once for each link and
then referred to by number.
*/
import type * as core from 'wagtailroute-core';
import type * as dispatch from 'wagtailroute-dispatch';
import type * as link from 'wagtailroute-link';
import {
	type RouteParameters,
	createSlotRequestId,
	type NumberedOrganisation,
	decodeSlotRequest,
	type NumberedRoute,
	type EncodedAdvertisements,
	type EncodedAnswer,
	type EncodedCancellation,
	type EncodedSlotRequest,
	encodeAnswer,
	type EncodedEnd,
} from './slot-request-encoding.ts';
import type {HostDispatcher} from './host-dispatcher.ts';
import {type HandoverReport, METHODS} from './messages.ts';

/**
The host at the other end of a link.
*/
export type RequestingHost = {
	readonly id: core.HostId;
	readonly failureDomain: core.FailureDomain;
};

/**
Creates the methods. A call from a host that has sent no hello, or with a route or an organisation that was not announced, is a defect of the
requesting host: the call fails, and that host dispatches alone.

@param findHost Returns the host that sent its hello over a link.
*/
export function createSlotRequestMethods(
	dispatcher: HostDispatcher,
	findHost: (from: link.Link) => RequestingHost | undefined,
): Readonly<Record<string, link.LinkMethod>> {
	const routes = createLinkItems<RouteParameters>();
	const organisations = createLinkItems<core.Organisation>();

	const getHost = (from: link.Link) => {
		const host = findHost(from);
		if (host === undefined) {
			throw new UnknownRequestingHost();
		}

		return host;
	};

	const decode = (request: EncodedSlotRequest, from: link.Link): dispatch.SlotRequest => {
		const {id, failureDomain} = getHost(from);
		const [, reference] = request;
		const [routeNumber, organisationNumber, lentMilliseconds, burstLent] = typeof reference === 'number' ? [reference] : reference;
		const route = routes.get(from, routeNumber);
		const organisation = organisationNumber === undefined ? undefined : organisations.get(from, organisationNumber);
		if (route === undefined || (organisation === undefined && organisationNumber !== undefined)) {
			throw new UnknownRouteReference();
		}

		return decodeSlotRequest(request, {
			host: id,
			failureDomain,
			...organisation !== undefined && {organisation},
			...lentMilliseconds !== undefined && {lentMilliseconds},
			...burstLent === 1 && {isBurstLent: true},
		}, route);
	};

	return {
		[METHODS.route]([number, route]: NumberedRoute, from: link.Link) {
			routes.set(from, number, route);
		},
		[METHODS.organisation]([number, organisation]: NumberedOrganisation, from: link.Link) {
			organisations.set(from, number, organisation);
		},
		[METHODS.ask]: (request: EncodedSlotRequest, from: link.Link): EncodedAnswer => encodeAnswer(dispatcher.requestSlot(decode(request, from))),
		[METHODS.cancel]([number, reclaimedMilliseconds]: EncodedCancellation, from: link.Link) {
			dispatcher.cancel(createSlotRequestId(getHost(from).id, number), reclaimedMilliseconds);
		},
		[METHODS.end]([number, ending, milliseconds, responseBytes]: EncodedEnd, from: link.Link) {
			dispatcher.end({
				id: createSlotRequestId(getHost(from).id, number), ending, milliseconds, ...responseBytes !== undefined && {responseBytes},
			});
		},
		[METHODS.advertised]([number, advertisements]: EncodedAdvertisements, from: link.Link) {
			dispatcher.recordAdvertisements(createSlotRequestId(getHost(from).id, number), advertisements);
		},
		[METHODS.hold](report: HandoverReport, from: link.Link) {
			dispatcher.applyHandover(getHost(from).id, report);
		},
	};
}

/**
No hello came over this link.
*/
class UnknownRequestingHost extends Error {
	override readonly name = 'UnknownRequestingHost';
}

/**
The route or the organisation was not announced over this link.
*/
class UnknownRouteReference extends Error {
	override readonly name = 'UnknownRouteReference';
}

/**
The items that were announced over each link, by number.
*/
type LinkItems<Item> = {
	readonly get: (from: link.Link, number: number) => Item | undefined;
	readonly set: (from: link.Link, number: number, item: Item) => void;
};

function createLinkItems<Item>(): LinkItems<Item> {
	const itemsByLink = new WeakMap<link.Link, Map<number, Item>>();
	return {
		get: (from, number) => itemsByLink.get(from)?.get(number),
		set(from, number, item) {
			const items = itemsByLink.get(from) ?? new Map<number, Item>();
			itemsByLink.set(from, items);
			items.set(number, item);
		},
	};
}

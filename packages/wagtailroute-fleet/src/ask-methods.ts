/**
The asks that come over the links of a dispatcher: each link's routes and organisations, and the host at its other end.
*/
import type * as core from 'wagtailroute-core';
import type * as dispatch from 'wagtailroute-dispatch';
import type * as link from 'wagtailroute-link';
import {
	type AskedRoute,
	createAskId,
	type OrganisationTelling,
	restoreAsk,
	type RouteTelling,
	type ShortAdvertisements,
	type ShortAnswer,
	type ShortAsk,
	shortenAnswer,
	type ShortEnd,
} from './ask-wire.ts';
import type {Dispatching} from './dispatching.ts';
import {type Holding, METHODS} from './messages.ts';

/**
Who asks over a link.
*/
export type Asker = {
	readonly id: core.HostId;
	readonly failureDomain: core.FailureDomain;
};

/**
Creates the methods by which hosts ask. A host that was not greeted, or a route or an organisation that was not told, is a defect of the asking
host: the call fails, and the host dispatches alone.
*/
export function createAskMethods(
	dispatching: Dispatching,
	findAsker: (from: link.Link) => Asker | undefined,
): Readonly<Record<string, link.LinkMethod>> {
	const routes = createLinkTable<AskedRoute>();
	const organisations = createLinkTable<core.Organisation>();

	const getAsker = (from: link.Link) => {
		const asker = findAsker(from);
		if (asker === undefined) {
			throw new UnknownAsker();
		}

		return asker;
	};

	const restore = (ask: ShortAsk, from: link.Link): dispatch.SlotRequest => {
		const {id, failureDomain} = getAsker(from);
		const [, origin] = ask;
		const [routeNumber, organisationNumber] = typeof origin === 'number' ? [origin, undefined] : origin;
		const route = routes.get(from, routeNumber);
		const organisation = organisationNumber === undefined ? undefined : organisations.get(from, organisationNumber);
		if (route === undefined || (organisation === undefined && organisationNumber !== undefined)) {
			throw new UnknownOrigin();
		}

		return restoreAsk(ask, {host: id, failureDomain, ...organisation !== undefined && {organisation}}, route);
	};

	return {
		[METHODS.route]([number, route]: RouteTelling, from: link.Link) {
			routes.set(from, number, route);
		},
		[METHODS.organisation]([number, organisation]: OrganisationTelling, from: link.Link) {
			organisations.set(from, number, organisation);
		},
		[METHODS.ask]: (ask: ShortAsk, from: link.Link): ShortAnswer => shortenAnswer(dispatching.ask(restore(ask, from))),
		[METHODS.cancel]([ask]: readonly [number], from: link.Link) {
			dispatching.cancel(createAskId(getAsker(from).id, ask));
		},
		[METHODS.end]([ask, ending, milliseconds]: ShortEnd, from: link.Link) {
			dispatching.end({id: createAskId(getAsker(from).id, ask), ending, milliseconds});
		},
		[METHODS.advertised]([ask, advertisements]: ShortAdvertisements, from: link.Link) {
			dispatching.recordAdvertisements(createAskId(getAsker(from).id, ask), advertisements);
		},
		[METHODS.hold](holding: Holding, from: link.Link) {
			dispatching.hold(getAsker(from).id, holding);
		},
	};
}

/**
The other side was not greeted.
*/
class UnknownAsker extends Error {
	override readonly name = 'UnknownAsker';
}

/**
The route or the organisation was not told over this link.
*/
class UnknownOrigin extends Error {
	override readonly name = 'UnknownOrigin';
}

/**
What was told over each link, by number.
*/
type LinkTable<Item> = {
	readonly get: (from: link.Link, number: number) => Item | undefined;
	readonly set: (from: link.Link, number: number, item: Item) => void;
};

function createLinkTable<Item>(): LinkTable<Item> {
	const told = new WeakMap<link.Link, Map<number, Item>>();
	return {
		get: (from, number) => told.get(from)?.get(number),
		set(from, number, item) {
			const items = told.get(from) ?? new Map<number, Item>();
			told.set(from, items);
			items.set(number, item);
		},
	};
}

/**
The asks that come over the links of a dispatcher: each link's routes, and the host at its other end.
*/
import type * as core from 'wagtailroute-core';
import type * as dispatch from 'wagtailroute-dispatch';
import type * as link from 'wagtailroute-link';
import {
	type AskedRoute,
	createAskId,
	restoreAsk,
	type RouteTelling,
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
Creates the methods by which hosts ask. A host that was not greeted, or a route that was not told, is a defect of the asking
host: the call fails, and the host dispatches alone.
*/
export function createAskMethods(
	dispatching: Dispatching,
	findAsker: (from: link.Link) => Asker | undefined,
): Readonly<Record<string, link.LinkMethod>> {
	const routes = new WeakMap<link.Link, Map<number, AskedRoute>>();

	const getAsker = (from: link.Link) => {
		const asker = findAsker(from);
		if (asker === undefined) {
			throw new UnknownAsker();
		}

		return asker;
	};

	const restore = (ask: ShortAsk, from: link.Link): dispatch.Ask => {
		const {id, failureDomain} = getAsker(from);
		const route = routes.get(from)?.get(ask[1]);
		if (route === undefined) {
			throw new UnknownRoute();
		}

		return restoreAsk(ask, {host: id, failureDomain}, route);
	};

	return {
		[METHODS.route]([number, route]: RouteTelling, from: link.Link) {
			const told = routes.get(from) ?? new Map<number, AskedRoute>();
			routes.set(from, told);
			told.set(number, route);
		},
		[METHODS.ask]: (ask: ShortAsk, from: link.Link): ShortAnswer => shortenAnswer(dispatching.ask(restore(ask, from))),
		[METHODS.cancel]([ask]: readonly [number], from: link.Link) {
			dispatching.cancel(createAskId(getAsker(from).id, ask));
		},
		[METHODS.end]([ask, ending, milliseconds]: ShortEnd, from: link.Link) {
			dispatching.end({id: createAskId(getAsker(from).id, ask), ending, milliseconds});
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
The route was not told over this link.
*/
class UnknownRoute extends Error {
	override readonly name = 'UnknownRoute';
}

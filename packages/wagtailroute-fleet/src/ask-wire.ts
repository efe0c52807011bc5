/**
The short form in which asks and their answers travel.

Each request costs one ask, one answer and one end between failure domains, where bytes may be dear: spelled out they are 700
bytes, in this form 150. What all requests of a route have in common is told once for each link; a host and its failure domain are
known from the link's first message.
*/
import type * as core from 'wagtailroute-core';
import type * as dispatch from 'wagtailroute-dispatch';
import type * as link from 'wagtailroute-link';
import * as utils from 'wagtailroute-utils';
import type {AskAnswer} from './messages.ts';

/**
What all asks of a route have in common.
*/
export type AskedRoute = Pick<dispatch.SlotRequest, 'service' | 'route' | 'requestClass' | 'priority' | 'objectiveMilliseconds'>;

/**
A route told to a dispatcher: its number on this link, and what it stands for.
*/
export type RouteTelling = readonly [number: number, route: AskedRoute];

/**
An organisation told to a dispatcher: its number on this link, and its name.
*/
export type OrganisationTelling = readonly [number: number, organisation: core.Organisation];

/**
The numbers of a route and, where the catalogue has organisations, of the caller's.
*/
export type AskOrigin = number | readonly [route: number, organisation: number];

/**
An ask: its number on the asking host, where it comes from, and the milliseconds until its deadline; for a resend the
upstreams that had the request; for a caller that has waited, for how many milliseconds; whether another dispatcher was asked before.
*/
export type ShortAsk = readonly [ask: number, origin: AskOrigin, remaining: number, excluded?: readonly core.UpstreamId[], isResend?: boolean, isMove?: boolean, waited?: number, isAgain?: boolean];

/**
An answer: a granted upstream and its address, a refusal with the milliseconds until a resend makes sense, "wait", or "elsewhere".
*/
export type ShortAnswer =
	| readonly ['grant', core.UpstreamId, string, number]
	| readonly ['refuse', dispatch.RefusalReason, number]
	| readonly ['wait']
	| readonly ['elsewhere'];

/**
The end of a granted request.
*/
export type ShortEnd = readonly [ask: number, ending: dispatch.Ending, milliseconds: number];

/**
What the answer to a granted request advertises about its upstream.
*/
export type ShortAdvertisements = readonly [ask: number, advertisements: readonly core.Advertisement[]];

/**
Returns the fleet's name of an ask.
*/
export function createAskId(host: core.HostId, ask: number): dispatch.SlotRequestId {
	return `${host}:${ask}`;
}

/**
Returns the number that an ask has on its host.
*/
export function getAskNumber(id: dispatch.SlotRequestId): number {
	return Number(id.slice(id.lastIndexOf(':') + 1));
}

/**
Numbers what is told once over each link.
*/
export type LinkNumbers<Item> = {
	/**
	Returns the number of an item, and whether the other side must be told it first.
	*/
	readonly number: (over: link.Link, item: Item) => {readonly number: number; readonly isNew: boolean};
};

/**
Creates an empty table of routes. A route that changed has a number of its own.
*/
export function createRouteNumbers(): LinkNumbers<AskedRoute> {
	return createLinkNumbers(({service, route, requestClass, priority, objectiveMilliseconds}) =>
		`${service} ${route} ${requestClass} ${priority} ${objectiveMilliseconds}`);
}

/**
Creates an empty table of organisations.
*/
export function createOrganisationNumbers(): LinkNumbers<core.Organisation> {
	return createLinkNumbers(organisation => organisation);
}

function createLinkNumbers<Item>(getKey: (item: Item) => string): LinkNumbers<Item> {
	const told = new WeakMap<link.Link, Map<string, number>>();
	return {
		number(over, item) {
			const numbers = told.get(over) ?? new Map<string, number>();
			told.set(over, numbers);
			const key = getKey(item);
			const known = numbers.get(key);
			if (known !== undefined) {
				return {number: known, isNew: false};
			}

			const number = numbers.size;
			numbers.set(key, number);
			return {number, isNew: true};
		},
	};
}

/**
Returns the part of an ask that all of its route have in common.
*/
export function getAskedRoute({service, route, requestClass, priority, objectiveMilliseconds}: dispatch.SlotRequest): AskedRoute {
	return {
		service, route, requestClass, priority, objectiveMilliseconds,
	};
}

/**
Shortens an ask.
*/
export function shortenAsk(ask: dispatch.SlotRequest, origin: AskOrigin): ShortAsk {
	const remaining = Math.floor(ask.remainingMilliseconds);
	const waited = Math.floor(ask.waitedMilliseconds);
	const short = [getAskNumber(ask.id), origin, remaining] as const;
	if (ask.isAgain === true) {
		return [...short, ask.excluded, ask.isResend, ask.isMove, waited, true];
	}

	return ask.isResend || ask.excluded.length > 0 || waited > 0 ? [...short, ask.excluded, ask.isResend, ask.isMove, waited] : short;
}

/**
Restores an ask.
*/
export function restoreAsk(
	[ask, , remainingMilliseconds, excluded = [], isResend = false, isMove = false, waitedMilliseconds = 0, isAgain]: ShortAsk,
	from: Pick<dispatch.SlotRequest, 'host' | 'failureDomain' | 'organisation'>,
	route: AskedRoute,
): dispatch.SlotRequest {
	return {
		...route, ...from, id: createAskId(from.host, ask), remainingMilliseconds, excluded, isResend, isMove, waitedMilliseconds, ...isAgain === true && {isAgain},
	};
}

type Shorteners = {
	readonly [Kind in AskAnswer['kind']]: (answer: Extract<AskAnswer, {kind: Kind}>) => ShortAnswer;
};

const SHORTENERS: Shorteners = {
	grant: ({upstream, address, isTrial}) => ['grant', upstream, `${address.ip}:${address.port}`, Number(isTrial)],
	refuse: ({reason, retryAfterMilliseconds}) => ['refuse', reason, Math.ceil(retryAfterMilliseconds)],
	wait: () => ['wait'],
	elsewhere: () => ['elsewhere'],
};

/**
Shortens an answer.
*/
export function shortenAnswer(answer: AskAnswer): ShortAnswer {
	return SHORTENERS[answer.kind](answer as never);
}

/**
Restores an answer.
*/
export function restoreAnswer(answer: ShortAnswer): AskAnswer {
	if (answer[0] === 'wait' || answer[0] === 'elsewhere') {
		return {kind: answer[0]};
	}

	if (answer[0] === 'refuse') {
		return {kind: 'refuse', reason: answer[1], retryAfterMilliseconds: answer[2]};
	}

	const [, upstream, address, trial] = answer;
	const separator = address.lastIndexOf(':');
	utils.invariant(separator > 0, 'a dispatcher grants an address with a port');
	return {
		kind: 'grant',
		upstream,
		address: {ip: address.slice(0, separator), port: Number(address.slice(separator + 1))},
		isTrial: trial === 1,
	};
}

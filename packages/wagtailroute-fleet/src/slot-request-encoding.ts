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
import type {SlotAnswer} from './messages.ts';

/**
What all asks of a route have in common.
*/
export type RouteParameters = Pick<dispatch.Ask, 'service' | 'route' | 'requestClass' | 'priority' | 'objectiveMilliseconds'>;

/**
A route told to a dispatcher: its number on this link, and what it stands for.
*/
export type NumberedRoute = readonly [number: number, route: RouteParameters];

/**
An organisation told to a dispatcher: its number on this link, and its name.
*/
export type NumberedOrganisation = readonly [number: number, organisation: core.Organisation];

/**
The numbers of a route and, where the catalogue has organisations, of the caller's.
*/
export type RouteReference = number | readonly [route: number, organisation: number];

/**
An ask: its number on the asking host, where it comes from, and the milliseconds until its deadline; for a resend the
upstreams that had the request; for a caller that has waited, for how many milliseconds; whether another dispatcher was asked before.
*/
export type EncodedSlotRequest = readonly [
	number: number,
	reference: RouteReference,
	remaining: number,
	excluded?: readonly core.UpstreamId[],
	isResend?: boolean,
	isMove?: boolean,
	waited?: number,
	isAgain?: boolean,
];

/**
An answer: a granted upstream and its address, a refusal with the milliseconds until a resend makes sense, "wait", or "elsewhere".
*/
export type EncodedAnswer =
	| readonly ['grant', core.UpstreamId, string, number]
	| readonly ['refuse', dispatch.RefusalReason, number]
	| readonly ['wait']
	| readonly ['elsewhere'];

/**
The end of a granted request.
*/
export type EncodedEnd = readonly [number: number, ending: dispatch.Ending, milliseconds: number];

/**
What the answer to a granted request advertises about its upstream.
*/
export type EncodedAdvertisements = readonly [number: number, advertisements: readonly core.Advertisement[]];

/**
Returns the fleet's name of an ask.
*/
export function createSlotRequestId(host: core.HostId, number: number): dispatch.AskId {
	return `${host}:${number}`;
}

/**
Returns the number that an ask has on its host.
*/
export function getSlotRequestNumber(id: dispatch.AskId): number {
	return Number(id.slice(id.lastIndexOf(':') + 1));
}

/**
Numbers what is told once over each link.
*/
export type LinkNumbering<Item> = {
	/**
	Returns the number of an item, and whether the other side must be told it first.
	*/
	readonly assign: (over: link.Link, item: Item) => {readonly number: number; readonly isNew: boolean};
};

/**
Creates an empty table of routes. A route that changed has a number of its own.
*/
export function createRouteNumbering(): LinkNumbering<RouteParameters> {
	return createLinkNumbering(({service, route, requestClass, priority, objectiveMilliseconds}) =>
		`${service} ${route} ${requestClass} ${priority} ${objectiveMilliseconds}`);
}

/**
Creates an empty table of organisations.
*/
export function createOrganisationNumbering(): LinkNumbering<core.Organisation> {
	return createLinkNumbering(organisation => organisation);
}

function createLinkNumbering<Item>(getKey: (item: Item) => string): LinkNumbering<Item> {
	const numbersByLink = new WeakMap<link.Link, Map<string, number>>();
	return {
		assign(over, item) {
			const numbers = numbersByLink.get(over) ?? new Map<string, number>();
			numbersByLink.set(over, numbers);
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
export function getRouteParameters({service, route, requestClass, priority, objectiveMilliseconds}: dispatch.Ask): RouteParameters {
	return {
		service, route, requestClass, priority, objectiveMilliseconds,
	};
}

/**
Shortens an ask.
*/
export function encodeSlotRequest(request: dispatch.Ask, reference: RouteReference): EncodedSlotRequest {
	const remaining = Math.floor(request.remainingMilliseconds);
	const waited = Math.floor(request.waitedMilliseconds);
	const encoded = [getSlotRequestNumber(request.id), reference, remaining] as const;
	if (request.isAgain === true) {
		return [...encoded, request.excluded, request.isResend, request.isMove, waited, true];
	}

	return request.isResend || request.excluded.length > 0 || waited > 0 ? [...encoded, request.excluded, request.isResend, request.isMove, waited] : encoded;
}

/**
Restores an ask.
*/
export function decodeSlotRequest(
	[number, , remainingMilliseconds, excluded = [], isResend = false, isMove = false, waitedMilliseconds = 0, isAgain]: EncodedSlotRequest,
	from: Pick<dispatch.Ask, 'host' | 'failureDomain' | 'organisation'>,
	route: RouteParameters,
): dispatch.Ask {
	return {
		...route, ...from, id: createSlotRequestId(from.host, number), remainingMilliseconds, excluded, isResend, isMove, waitedMilliseconds, ...isAgain === true && {isAgain},
	};
}

type AnswerEncoders = {
	readonly [Kind in SlotAnswer['kind']]: (answer: Extract<SlotAnswer, {kind: Kind}>) => EncodedAnswer;
};

const ANSWER_ENCODERS: AnswerEncoders = {
	grant: ({upstream, address, isTrial}) => ['grant', upstream, `${address.ip}:${address.port}`, Number(isTrial)],
	refuse: ({reason, retryAfterMilliseconds}) => ['refuse', reason, Math.ceil(retryAfterMilliseconds)],
	wait: () => ['wait'],
	elsewhere: () => ['elsewhere'],
};

/**
Shortens an answer.
*/
export function encodeAnswer(answer: SlotAnswer): EncodedAnswer {
	return ANSWER_ENCODERS[answer.kind](answer as never);
}

/**
Restores an answer.
*/
export function decodeAnswer(answer: EncodedAnswer): SlotAnswer {
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

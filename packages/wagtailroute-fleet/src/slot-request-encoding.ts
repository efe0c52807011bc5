/**
The compact encoding of slot requests and their answers between hosts. On the wire a slot request is called an ask.

Each request costs one slot request, one answer and one end between failure domains, where traffic may be expensive: with named properties they
take 700 bytes, in this encoding 150. What all requests of a route have in common is sent once over each link; a host and its failure
domain are known from the link's first message.
*/
import type * as core from 'wagtailroute-core';
import type * as dispatch from 'wagtailroute-dispatch';
import type * as link from 'wagtailroute-link';
import * as utils from 'wagtailroute-utils';
import {getPoolKey} from './pools/pool-key.ts';
import type {SlotAnswer} from './messages.ts';

/**
What all slot requests of a route have in common.
*/
export type RouteParameters = Pick<dispatch.SlotRequest, 'service' | 'pool' | 'route' | 'requestClass' | 'priority' | 'objectiveMilliseconds'>;

/**
A route as it is announced to a dispatcher: the number that stands for it on this link, and its parameters.
*/
export type NumberedRoute = readonly [number: number, route: RouteParameters];

/**
An organisation as it is announced to a dispatcher: the number that stands for it on this link, and its name.
*/
export type NumberedOrganisation = readonly [number: number, organisation: core.Organisation];

/**
The number of a route on this link, with that of the caller's organisation and the time and the bursts that the host lends where the catalogue has organisations.
*/
export type RouteReference = number | readonly [route: number, organisation: number, lentMilliseconds?: number, burstLent?: 1];

/**
A slot request: its number on the requesting host, its route and organisation, and the milliseconds until its deadline; for a resend the
upstreams that have received the request; the milliseconds that its caller has waited; whether the slot was requested of another dispatcher before.
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
An answer: a granted upstream with its address and 1 for a trial, a refusal with the milliseconds until a resend makes sense, "wait", or "elsewhere",
where applicable with the failure domain of a pool that has free slots.
*/
export type EncodedAnswer =
	| readonly ['grant', core.UpstreamId, string, number]
	| readonly ['refuse', dispatch.RefusalReason, number]
	| readonly ['wait']
	| readonly ['elsewhere', core.FailureDomain?];

/**
The cancellation of a slot request, with the milliseconds lent with it that the host takes back.
*/
export type EncodedCancellation = readonly [number: number, reclaimedMilliseconds?: number];

/**
The end of a granted request, with the milliseconds from the send to the answer's header section and, where its entry host knows it, the size of the
response's body. A host that doesn't know the last item ignores it.
*/
export type EncodedEnd = readonly [number: number, ending: dispatch.Ending, milliseconds: number, responseBytes?: number];

/**
What the answer to a granted request advertises about its upstream.
*/
export type EncodedAdvertisements = readonly [number: number, advertisements: readonly core.Advertisement[]];

/**
Returns the identifier of a slot request, unique in the fleet.
*/
export function createSlotRequestId(host: core.HostId, number: number): dispatch.SlotRequestId {
	return `${host}:${number}`;
}

/**
Returns the number that a slot request has on its host.
*/
export function getSlotRequestNumber(id: dispatch.SlotRequestId): number {
	return Number(id.slice(id.lastIndexOf(':') + 1));
}

/**
Assigns numbers to items that are announced once over each link.
*/
export type LinkNumbering<Item> = {
	/**
	Returns the number of an item, and whether it is new and must be announced first.
	*/
	readonly assign: (over: link.Link, item: Item) => {readonly number: number; readonly isNew: boolean};
};

/**
Creates the numbering of routes. A route whose parameters have changed gets a new number.
*/
export function createRouteNumbering(): LinkNumbering<RouteParameters> {
	return createLinkNumbering(({service, pool, route, requestClass, priority, objectiveMilliseconds}) =>
		`${getPoolKey({service, pool})} ${route} ${requestClass} ${priority} ${objectiveMilliseconds}`);
}

/**
Creates the numbering of organisations.
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
Returns the part of a slot request that all requests of its route have in common.
*/
export function getRouteParameters({service, pool, route, requestClass, priority, objectiveMilliseconds}: dispatch.SlotRequest): RouteParameters {
	return {
		service, ...pool !== undefined && {pool}, route, requestClass, priority, objectiveMilliseconds,
	};
}

/**
Encodes a slot request. Times are rounded down to whole milliseconds; trailing items that have their default are left out.
*/
export function encodeSlotRequest(request: dispatch.SlotRequest, reference: RouteReference): EncodedSlotRequest {
	const remaining = Math.floor(request.remainingMilliseconds);
	const waited = Math.floor(request.waitedMilliseconds);
	const encoded = [getSlotRequestNumber(request.id), reference, remaining] as const;
	if (request.isAgain === true) {
		return [...encoded, request.excluded, request.isResend, request.isMove, waited, true];
	}

	return request.isResend || request.excluded.length > 0 || waited > 0 ? [...encoded, request.excluded, request.isResend, request.isMove, waited] : encoded;
}

/**
Decodes a slot request.

@param from Requesting host, and the organisation and the loan of the request's reference.
*/
export function decodeSlotRequest(
	[number, , remainingMilliseconds, excluded = [], isResend = false, isMove = false, waitedMilliseconds = 0, isAgain]: EncodedSlotRequest,
	from: Pick<dispatch.SlotRequest, 'host' | 'failureDomain' | 'organisation' | 'lentMilliseconds' | 'isBurstLent'>,
	route: RouteParameters,
): dispatch.SlotRequest {
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
	elsewhere: ({pool}) => pool === undefined ? ['elsewhere'] : ['elsewhere', pool],
};

/**
Encodes the end of a granted request. Milliseconds and bytes are rounded.
*/
export function encodeEnd(id: dispatch.SlotRequestId, {ending, milliseconds, responseBytes}: dispatch.Outcome): EncodedEnd {
	const encoded = [getSlotRequestNumber(id), ending, Math.round(milliseconds)] as const;
	return responseBytes === undefined ? encoded : [...encoded, Math.round(responseBytes)];
}

/**
Encodes an answer. The milliseconds of a refusal are rounded up.
*/
export function encodeAnswer(answer: SlotAnswer): EncodedAnswer {
	return ANSWER_ENCODERS[answer.kind](answer as never);
}

/**
Decodes an answer.
*/
export function decodeAnswer(answer: EncodedAnswer): SlotAnswer {
	if (answer[0] === 'wait') {
		return {kind: 'wait'};
	}

	if (answer[0] === 'elsewhere') {
		const [, pool] = answer;
		return {kind: 'elsewhere', ...pool !== undefined && {pool}};
	}

	if (answer[0] === 'refuse') {
		return {kind: 'refuse', reason: answer[1], retryAfterMilliseconds: answer[2]};
	}

	const [, upstream, address, trial] = answer;
	const separator = address.lastIndexOf(':');
	utils.invariant(separator > 0, 'the granted address has no port');
	return {
		kind: 'grant',
		upstream,
		address: {ip: address.slice(0, separator), port: Number(address.slice(separator + 1))},
		isTrial: trial === 1,
	};
}

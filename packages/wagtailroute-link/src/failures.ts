/**
How a call over a link can fail. Each kind says whether the other side may have acted on the call.
*/
import * as core from 'wagtailroute-core';

/**
`link-closed`: there is no connection, nothing was sent. `call-timeout`, `call-lost`: the other side may have acted.
`call-refused`: the other side answered with an error.
*/
export type LinkFailureKind = 'link-closed' | 'call-timeout' | 'call-lost' | 'call-refused';

/**
A failed call.
*/
export type LinkFailure = core.Failure<LinkFailureKind>;

const POSSIBLY_DELIVERED: Readonly<Record<LinkFailureKind, boolean>> = {
	'link-closed': false,
	'call-timeout': true,
	'call-lost': true,
	'call-refused': true,
};

/**
Says whether the other side may have acted on the call.
*/
export function isPossiblyDelivered(failure: LinkFailure): boolean {
	return POSSIBLY_DELIVERED[failure.kind];
}

/**
Creates the failure of a call.
*/
export function createLinkFailure(kind: LinkFailureKind, method: string, detail: string): LinkFailure {
	return core.createFailure(kind, `${method}: ${detail}`);
}

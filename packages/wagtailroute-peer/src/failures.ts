/**
How a call to another host can fail. What matters most to a caller's answer is whether the other host may have acted on
the call, so each kind says so.
*/
import * as core from 'wagtailroute-core';

/**
What went wrong with a call.
*/
export type PeerFailureKind =
	| 'peer-unreachable'
	| 'peer-overloaded'
	| 'peer-timeout'
	| 'peer-disconnected'
	| 'peer-error';

/**
A failed call.
*/
export type PeerFailure = core.Failure<PeerFailureKind>;

const DELIVERY: Readonly<Record<PeerFailureKind, 'no' | 'unknown'>> = {
	'peer-unreachable': 'no',
	'peer-overloaded': 'no',
	'peer-timeout': 'unknown',
	'peer-disconnected': 'unknown',
	'peer-error': 'unknown',
};

/**
Says whether the other host may have acted on the call.
*/
export function isPossiblyDelivered(failure: PeerFailure): boolean {
	return DELIVERY[failure.kind] === 'unknown';
}

/**
Creates the failure of a call to an address.
*/
export function createPeerFailure(kind: PeerFailureKind, address: core.Address, detail: string): PeerFailure {
	return core.createFailure(kind, `Call to ${core.formatAddress(address)}: ${detail}.`);
}
